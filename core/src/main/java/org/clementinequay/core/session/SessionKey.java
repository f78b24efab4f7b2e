package org.clementinequay.core.session;

import java.util.Objects;

/**
 * A secret that signs session tokens.
 *
 * @param id short public name of the key
 * @param secret secret bytes, at least {@value #MIN_SECRET_BYTES}
 */
public record SessionKey(String id, byte[] secret) {
  /** Shortest secret; the output length of SHA-256. */
  public static final int MIN_SECRET_BYTES = 32;

  /** Checks the length and copies the secret. */
  public SessionKey {
    Objects.requireNonNull(id);
    if (secret.length < MIN_SECRET_BYTES) {
      throw new IllegalArgumentException(
          "session key " + id + " is shorter than " + MIN_SECRET_BYTES + " bytes");
    }
    secret = secret.clone();
  }

  @Override
  public byte[] secret() {
    return secret.clone();
  }
}
