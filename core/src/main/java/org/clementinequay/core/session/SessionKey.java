package org.clementinequay.core.session;

import java.util.Objects;

/**
 * Secret key that signs session tokens.
 *
 * @param id short public name of the key, which is part of the tokens that it signs
 * @param secret secret bytes, at least {@value #MIN_SECRET_BYTES}; the accessor returns a copy
 */
public record SessionKey(String id, byte[] secret) {
  /** Minimum length of the secret in bytes: the output length of SHA-256. */
  public static final int MIN_SECRET_BYTES = 32;

  /**
   * Takes a copy of the secret.
   *
   * @throws IllegalArgumentException if the secret is too short
   */
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
