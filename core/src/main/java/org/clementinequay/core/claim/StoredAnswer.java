package org.clementinequay.core.claim;

import java.util.Arrays;
import java.util.Base64;
import java.util.Optional;
import org.clementinequay.core.platform.RowFields;

/** The answer that a repeat of a request receives. Its body is in the claim row or an object. */
public final class StoredAnswer {
  /**
   * Largest body kept in a claim row, in bytes. A full batch of answers then stays below 2 MB, a
   * size that one transaction can carry; larger bodies go to the object store.
   */
  public static final int MAX_INLINE_BYTES = 8 * 1024;

  private final int status;
  private final String contentType;
  private final byte[] body;
  private final String objectName;

  private StoredAnswer(int status, String contentType, byte[] body, String objectName) {
    this.status = status;
    this.contentType = contentType;
    this.body = body;
    this.objectName = objectName;
  }

  /** Returns an answer whose body is at hand. */
  public static StoredAnswer of(int status, String contentType, byte[] body) {
    return new StoredAnswer(status, contentType, body.clone(), null);
  }

  /** Returns the HTTP status that the upstream answered. */
  public int status() {
    return status;
  }

  /** Returns the content type of the body. */
  public String contentType() {
    return contentType;
  }

  /** Returns the body, or empty if it is in the object store only. */
  public Optional<byte[]> body() {
    return Optional.ofNullable(body).map(byte[]::clone);
  }

  /** Returns the name of the object that holds the body, if it is not in the row. */
  public Optional<String> objectName() {
    return Optional.ofNullable(objectName);
  }

  boolean fitsRow() {
    return body == null || body.length <= MAX_INLINE_BYTES;
  }

  StoredAnswer movedTo(String object) {
    return new StoredAnswer(status, contentType, null, object);
  }

  StoredAnswer withBody(byte[] content) {
    return new StoredAnswer(status, contentType, content.clone(), null);
  }

  void encode(RowFields.Builder fields) {
    fields.number("status", status).text("type", contentType);
    if (body == null) {
      fields.text("object", objectName);
    } else {
      fields.text("body", Base64.getUrlEncoder().withoutPadding().encodeToString(body));
    }
  }

  static Optional<StoredAnswer> decode(RowFields fields) {
    if (fields.optionalText("status").isEmpty()) {
      return Optional.empty();
    }
    byte[] body = fields.optionalText("body").map(Base64.getUrlDecoder()::decode).orElse(null);
    return Optional.of(
        new StoredAnswer(
            (int) fields.number("status"),
            fields.text("type"),
            body,
            fields.optionalText("object").orElse(null)));
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof StoredAnswer that
        && status == that.status
        && contentType.equals(that.contentType)
        && Arrays.equals(body, that.body)
        && objectName().equals(that.objectName());
  }

  @Override
  public int hashCode() {
    return 31 * status + Arrays.hashCode(body);
  }
}
