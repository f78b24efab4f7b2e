package org.clementinequay.core.claim;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.RequestFailedException;
import org.clementinequay.core.platform.RowKey;

/**
 * An idempotency key in the scope of a client account.
 *
 * @param account name of the client account
 * @param key idempotency key as sent by the caller
 */
public record ClaimKey(String account, String key) {
  /** Table that holds the claims. */
  public static final String TABLE = "claims";

  /** Maximum length of a key in characters; a UUID has 36. */
  public static final int MAX_KEY_LENGTH = 255;

  /**
   * Validates a key sent by a caller.
   *
   * @throws RequestFailedException if the key is blank or longer than {@link #MAX_KEY_LENGTH}
   */
  public static ClaimKey fromCaller(String account, String key) throws RequestFailedException {
    if (key.isBlank() || key.length() > MAX_KEY_LENGTH) {
      throw RequestFailedException.notRun(
          RefusalReason.MALFORMED_REQUEST,
          "the idempotency key must have 1 to " + MAX_KEY_LENGTH + " characters");
    }
    return new ClaimKey(account, key);
  }

  /**
   * Returns the key of the claim row. Account and idempotency key are URL-encoded, so two different
   * pairs never share a row.
   */
  public RowKey rowKey() {
    return new RowKey(TABLE, encode(account) + "/" + encode(key));
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
