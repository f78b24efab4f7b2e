package org.clementinequay.core.claim;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A request for a claim on an idempotency key, that is, for the right to run a call under the key.
 *
 * @param key idempotency key in the scope of its account
 * @param bodyHash SHA-256 of the request body in hexadecimal digits
 * @param deadlineNanos monotonic time at which an undecided claim is refused
 */
public record ClaimRequest(ClaimKey key, String bodyHash, long deadlineNanos) {
  /** Creates a request with the SHA-256 hash of the body. */
  public static ClaimRequest of(ClaimKey key, byte[] body, long deadlineNanos) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return new ClaimRequest(key, HexFormat.of().formatHex(digest.digest(body)), deadlineNanos);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform supports SHA-256", e);
    }
  }
}
