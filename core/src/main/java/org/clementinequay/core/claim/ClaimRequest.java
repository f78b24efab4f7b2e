package org.clementinequay.core.claim;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A request for the right to run a call under an idempotency key.
 *
 * @param key the key in the scope of its account
 * @param bodyHash SHA-256 of the request body in hexadecimal digits
 * @param deadlineNanos reading of the monotonic clock after which the claim is given up
 */
public record ClaimRequest(ClaimKey key, String bodyHash, long deadlineNanos) {
  /** Returns the request for a body. */
  public static ClaimRequest of(ClaimKey key, byte[] body, long deadlineNanos) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return new ClaimRequest(key, HexFormat.of().formatHex(digest.digest(body)), deadlineNanos);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
