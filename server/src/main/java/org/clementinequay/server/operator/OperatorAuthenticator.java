package org.clementinequay.server.operator;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Base64;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.clementinequay.server.settings.PasswordHash;
import org.clementinequay.server.settings.Settings;

/**
 * Authenticates operators by name and password. A correct password is cached for a limited time as
 * an HMAC under a random key of this process, because hashing a password takes a large part of a
 * second by design.
 */
public final class OperatorAuthenticator {
  private static final Duration CACHE_DURATION = Duration.ofMinutes(5);
  private static final int MAX_CACHED = 1_000;

  /** Maximum number of concurrent checks; bounds the load that wrong passwords can cause. */
  private static final int MAX_CONCURRENT_CHECKS = 2;

  /**
   * Maximum number of checks that wait for a running one to end. The health and readiness checks
   * share the listener's threads, and a flood of wrong passwords must not block all of them.
   */
  private static final int MAX_WAITING_CHECKS = 4;

  private static final int KEY_BYTES = 32;
  private static final String BASIC_PREFIX = "basic ";

  private final Map<String, PasswordHash> hashes = new HashMap<>();
  private final PasswordHash unknownOperatorHash;
  private final SecretKeySpec digestKey;
  private final Semaphore runPermits;
  private final Semaphore admissionPermits;
  private final Cache<String, Boolean> verifiedDigests =
      Caffeine.newBuilder().expireAfterWrite(CACHE_DURATION).maximumSize(MAX_CACHED).build();

  /** Creates an authenticator for the operators of validated settings. */
  public OperatorAuthenticator(List<Settings.OperatorLogin> operators) {
    this(operators, MAX_CONCURRENT_CHECKS, MAX_WAITING_CHECKS);
  }

  OperatorAuthenticator(List<Settings.OperatorLogin> operators, int maxChecks, int maxWaiting) {
    runPermits = new Semaphore(maxChecks, true);
    admissionPermits = new Semaphore(maxChecks + maxWaiting);
    SecureRandom random = new SecureRandom();
    byte[] keyBytes = new byte[KEY_BYTES];
    random.nextBytes(keyBytes);
    digestKey = new SecretKeySpec(keyBytes, "HmacSHA256");
    for (Settings.OperatorLogin operator : operators) {
      hashes.put(operator.name(), PasswordHash.parse(operator.passwordHash()).orElseThrow());
    }
    unknownOperatorHash =
        hashes.values().stream()
            .findFirst()
            .orElseGet(() -> PasswordHash.create("".toCharArray(), 1_000, random));
  }

  /**
   * Returns the name of the operator that an HTTP Basic header authenticates, or empty if the
   * header is missing or malformed or the name or password is wrong.
   *
   * @throws PasswordChecksBusyException if the password was not checked
   */
  public Optional<String> authenticate(String authorization) throws PasswordChecksBusyException {
    if (authorization == null
        || !authorization.regionMatches(true, 0, BASIC_PREFIX, 0, BASIC_PREFIX.length())) {
      return Optional.empty();
    }
    String credentials;
    try {
      byte[] decoded =
          Base64.getDecoder().decode(authorization.substring(BASIC_PREFIX.length()).trim());
      credentials = new String(decoded, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      // Not valid Base64.
      return Optional.empty();
    }
    int colon = credentials.indexOf(':');
    if (colon < 0) {
      return Optional.empty();
    }
    String name = credentials.substring(0, colon);
    return checkPassword(name, credentials.substring(colon + 1))
        ? Optional.of(name)
        : Optional.empty();
  }

  /**
   * Returns whether the password is that of the operator.
   *
   * @throws PasswordChecksBusyException if the password was not checked
   */
  public boolean checkPassword(String name, String password) throws PasswordChecksBusyException {
    String digest = digest(name, password);
    if (verifiedDigests.getIfPresent(digest) != null) {
      return true;
    }
    // An unknown name takes as long as a known one, so that response times do not reveal names.
    PasswordHash hash = hashes.getOrDefault(name, unknownOperatorHash);
    if (!admissionPermits.tryAcquire()) {
      throw new PasswordChecksBusyException();
    }
    runPermits.acquireUninterruptibly();
    try {
      boolean correct = hash.matches(password.toCharArray()) && hashes.containsKey(name);
      if (correct) {
        verifiedDigests.put(digest, true);
      }
      return correct;
    } finally {
      runPermits.release();
      admissionPermits.release();
    }
  }

  private String digest(String name, String password) {
    try {
      Mac mac = Mac.getInstance("HmacSHA256");
      mac.init(digestKey);
      mac.update(name.getBytes(StandardCharsets.UTF_8));
      mac.update((byte) 0);
      return HexFormat.of().formatHex(mac.doFinal(password.getBytes(StandardCharsets.UTF_8)));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every JDK has HmacSHA256", e);
    }
  }
}
