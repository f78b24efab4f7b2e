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
 * @param key the key as the caller sent it
 */
public record ClaimKey(String account, String key) {
  /** Table that holds the claims. */
  public static final String TABLE = "claims";

  /** Longest accepted key in characters; a UUID has 36. */
  public static final int MAX_KEY_LENGTH = 255;

  /**
   * Checks a key that a caller sent.
   *
   * @throws RequestFailedException if the key is empty or too long
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
   * Returns the place of the claim row. Both parts are encoded, so that no pair of account and key
   * shares a row with another pair.
   */
  public RowKey rowKey() {
    return new RowKey(TABLE, encode(account) + "/" + encode(key));
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
