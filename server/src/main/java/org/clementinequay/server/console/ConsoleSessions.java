package org.clementinequay.server.console;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Holds the console sessions of one entry host in memory only. After a restart operators have to
 * sign in again, and drafts that were not submitted are lost.
 */
final class ConsoleSessions {
  /** A session expires after this time without a request. */
  static final Duration IDLE_TIMEOUT = Duration.ofMinutes(30);

  /** A session expires after this time even if it is in use; long enough for one work shift. */
  static final Duration MAX_LIFETIME = Duration.ofHours(10);

  private static final int MAX_SESSIONS = 200;
  private static final int TOKEN_BYTES = 32;

  private final RuntimeClock clock;
  private final SecureRandom random = new SecureRandom();
  private final Cache<String, ConsoleSession> sessions;

  ConsoleSessions(RuntimeClock clock) {
    this.clock = clock;
    this.sessions =
        Caffeine.newBuilder()
            .ticker(clock::nanoTime)
            .expireAfterAccess(IDLE_TIMEOUT)
            .maximumSize(MAX_SESSIONS)
            .build();
  }

  /** Creates a session and returns its id, the value of the session cookie. */
  String create(String operator) {
    String id = randomToken();
    sessions.put(id, new ConsoleSession(operator, randomToken(), clock.nanoTime()));
    return id;
  }

  /** Returns the session of an id; empty if the id is unknown or the session has expired. */
  Optional<ConsoleSession> find(String id) {
    ConsoleSession session = sessions.getIfPresent(id);
    if (session != null && clock.nanoTime() - session.startNanos() >= MAX_LIFETIME.toNanos()) {
      sessions.invalidate(id);
      return Optional.empty();
    }
    return Optional.ofNullable(session);
  }

  void remove(String id) {
    sessions.invalidate(id);
  }

  private String randomToken() {
    byte[] bytes = new byte[TOKEN_BYTES];
    random.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }
}
