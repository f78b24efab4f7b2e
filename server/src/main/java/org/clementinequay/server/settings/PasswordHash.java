package org.clementinequay.server.settings;

import com.google.common.base.Splitter;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import javax.crypto.SecretKeyFactory;
import javax.crypto.spec.PBEKeySpec;

/**
 * A salted password hash, PBKDF2 with HMAC-SHA-256. Its text form is {@code
 * pbkdf2-sha256$<iterations>$<salt>$<hash>} with salt and hash in Base64.
 */
public final class PasswordHash {
  /** Iterations of new hashes, which take about a quarter of a second on one core. */
  public static final int DEFAULT_ITERATIONS = 600_000;

  /** Fewer iterations make guessing too cheap. */
  private static final int MIN_ITERATIONS = 1_000;

  /** With more iterations, a typing error in the settings could block a thread. */
  private static final int MAX_ITERATIONS = 10_000_000;

  private static final int SALT_BYTES = 16;
  private static final int HASH_BYTES = 32;
  private static final String ALGORITHM = "PBKDF2WithHmacSHA256";
  private static final String PREFIX = "pbkdf2-sha256";
  private static final Splitter DOLLAR_SPLITTER = Splitter.on('$');

  private final int iterations;
  private final byte[] salt;
  private final byte[] hash;

  private PasswordHash(int iterations, byte[] salt, byte[] hash) {
    this.iterations = iterations;
    this.salt = salt;
    this.hash = hash;
  }

  /** Hashes a password with a new random salt. */
  public static PasswordHash create(char[] password, int iterations, SecureRandom random) {
    byte[] salt = new byte[SALT_BYTES];
    random.nextBytes(salt);
    return new PasswordHash(iterations, salt, deriveHash(password, salt, iterations));
  }

  /**
   * Parses the text form.
   *
   * @return empty if the text is malformed, or if its iterations, salt or hash are out of range
   */
  public static Optional<PasswordHash> parse(String text) {
    List<String> parts = DOLLAR_SPLITTER.splitToList(text);
    if (parts.size() != 4 || !parts.get(0).equals(PREFIX) || !parts.get(1).matches("\\d{1,8}")) {
      return Optional.empty();
    }
    int iterations = Integer.parseInt(parts.get(1));
    try {
      byte[] salt = Base64.getDecoder().decode(parts.get(2));
      byte[] hash = Base64.getDecoder().decode(parts.get(3));
      boolean wellFormed =
          iterations >= MIN_ITERATIONS
              && iterations <= MAX_ITERATIONS
              && salt.length >= SALT_BYTES
              && hash.length == HASH_BYTES;
      return wellFormed ? Optional.of(new PasswordHash(iterations, salt, hash)) : Optional.empty();
    } catch (IllegalArgumentException e) {
      // Not Base64.
      return Optional.empty();
    }
  }

  /** Returns whether this is the hash of the password. Takes as long as creating the hash. */
  public boolean matches(char[] password) {
    return MessageDigest.isEqual(hash, deriveHash(password, salt, iterations));
  }

  /** Returns the text form, which {@link #parse} accepts. */
  public String encode() {
    Base64.Encoder base64 = Base64.getEncoder();
    return PREFIX
        + "$"
        + iterations
        + "$"
        + base64.encodeToString(salt)
        + "$"
        + base64.encodeToString(hash);
  }

  private static byte[] deriveHash(char[] password, byte[] salt, int iterations) {
    PBEKeySpec spec = new PBEKeySpec(password, salt, iterations, HASH_BYTES * Byte.SIZE);
    try {
      return SecretKeyFactory.getInstance(ALGORITHM).generateSecret(spec).getEncoded();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the JDK does not support " + ALGORITHM, e);
    } finally {
      spec.clearPassword();
    }
  }
}
