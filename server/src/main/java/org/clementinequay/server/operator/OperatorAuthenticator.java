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
 * Checks names and passwords of operators. A password that was right is remembered for a while as a
 * keyed digest under a key of this process, because a check takes a large part of a second by
 * design.
 */
public final class OperatorAuthenticator {
  private static final Duration REMEMBER = Duration.ofMinutes(5);
  private static final int MAX_REMEMBERED = 1_000;

  /** Password checks at the same time; bounds what wrong passwords can cost the host. */
  private static final int MAX_CHECKS = 2;

  /**
   * Checks that may wait for their turn. The health and readiness checks share the listener's
   * threads, and a flood of wrong passwords must not keep all of them waiting.
   */
  private static final int MAX_WAITING = 4;

  private static final int KEY_BYTES = 32;
  private static final String BASIC = "basic ";

  private final Map<String, PasswordHash> hashes = new HashMap<>();
  private final PasswordHash unknownUser;
  private final SecretKeySpec key;
  private final Semaphore checks;
  private final Semaphore admitted;
  private final Cache<String, Boolean> remembered =
      Caffeine.newBuilder().expireAfterWrite(REMEMBER).maximumSize(MAX_REMEMBERED).build();

  /** Creates the logins of checked settings. */
  public OperatorAuthenticator(List<Settings.OperatorLogin> operators) {
    this(operators, MAX_CHECKS, MAX_WAITING);
  }

  OperatorAuthenticator(List<Settings.OperatorLogin> operators, int maxChecks, int maxWaiting) {
    checks = new Semaphore(maxChecks, true);
    admitted = new Semaphore(maxChecks + maxWaiting);
    SecureRandom random = new SecureRandom();
    byte[] keyBytes = new byte[KEY_BYTES];
    random.nextBytes(keyBytes);
    key = new SecretKeySpec(keyBytes, "HmacSHA256");
    for (Settings.OperatorLogin operator : operators) {
      hashes.put(operator.name(), PasswordHash.parse(operator.passwordHash()).orElseThrow());
    }
    unknownUser =
        hashes.values().stream()
            .findFirst()
            .orElseGet(() -> PasswordHash.create("".toCharArray(), 1_000, random));
  }

  /**
   * Returns the name of the operator that an HTTP Basic header authenticates.
   *
   * @throws PasswordChecksBusyException if the password was not checked
   */
  public Optional<String> authenticate(String authorization) throws PasswordChecksBusyException {
    if (authorization == null || !authorization.regionMatches(true, 0, BASIC, 0, BASIC.length())) {
      return Optional.empty();
    }
    String pair;
    try {
      byte[] decoded = Base64.getDecoder().decode(authorization.substring(BASIC.length()).trim());
      pair = new String(decoded, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      // Not Base64.
      return Optional.empty();
    }
    int colon = pair.indexOf(':');
    if (colon < 0) {
      return Optional.empty();
    }
    String name = pair.substring(0, colon);
    return checkPassword(name, pair.substring(colon + 1)) ? Optional.of(name) : Optional.empty();
  }

  /**
   * Returns whether the password is that of the operator.
   *
   * @throws PasswordChecksBusyException if the password was not checked
   */
  public boolean checkPassword(String name, String password) throws PasswordChecksBusyException {
    String digest = digest(name, password);
    if (remembered.getIfPresent(digest) != null) {
      return true;
    }
    // An unknown name costs as much time as a known one, so that names cannot be probed.
    PasswordHash hash = hashes.getOrDefault(name, unknownUser);
    if (!admitted.tryAcquire()) {
      throw new PasswordChecksBusyException();
    }
    checks.acquireUninterruptibly();
    try {
      boolean right = hash.matches(password.toCharArray()) && hashes.containsKey(name);
      if (right) {
        remembered.put(digest, true);
      }
      return right;
    } finally {
      checks.release();
      admitted.release();
    }
  }

  private String digest(String name, String password) {
    try {
      Mac mac = Mac.getInstance("HmacSHA256");
      mac.init(key);
      mac.update(name.getBytes(StandardCharsets.UTF_8));
      mac.update((byte) 0);
      return HexFormat.of().formatHex(mac.doFinal(password.getBytes(StandardCharsets.UTF_8)));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every JDK has HmacSHA256", e);
    }
  }
}
