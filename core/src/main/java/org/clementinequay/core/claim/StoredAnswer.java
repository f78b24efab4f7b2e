package org.clementinequay.core.claim;

import java.util.Arrays;
import java.util.Base64;
import java.util.Optional;
import org.clementinequay.core.platform.RowFields;

/** Answer to repeated requests. Its body is stored in the claim row or in the object store. */
public final class StoredAnswer {
  /**
   * Maximum size of a body kept in a claim row, in bytes. It keeps a full batch of answers below 2
   * MB, which fits into one transaction; larger bodies are written to the object store.
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

  /** Returns an answer with its body in memory; the body is copied. */
  public static StoredAnswer of(int status, String contentType, byte[] body) {
    return new StoredAnswer(status, contentType, body.clone(), null);
  }

  /** Returns the HTTP status of the upstream's answer. */
  public int status() {
    return status;
  }

  public String contentType() {
    return contentType;
  }

  /** Returns a copy of the body; empty if the body is only in the object store. */
  public Optional<byte[]> body() {
    return Optional.ofNullable(body).map(byte[]::clone);
  }

  /** Returns the name of the object with the body; empty if the body is in memory. */
  public Optional<String> objectName() {
    return Optional.ofNullable(objectName);
  }

  boolean fitsInRow() {
    return body == null || body.length <= MAX_INLINE_BYTES;
  }

  StoredAnswer withObjectName(String newObjectName) {
    return new StoredAnswer(status, contentType, null, newObjectName);
  }

  StoredAnswer withBody(byte[] newBody) {
    return new StoredAnswer(status, contentType, newBody.clone(), null);
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
