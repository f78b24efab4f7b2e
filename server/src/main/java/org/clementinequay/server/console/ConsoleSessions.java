package org.clementinequay.server.console;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import org.clementinequay.core.time.RuntimeClock;

/**
 * The console sessions of one entry host. They live in its memory only: after a restart an operator
 * signs in again, and a draft that was not submitted is lost.
 */
final class ConsoleSessions {
  /** Time without a request after which a session ends. */
  static final Duration IDLE = Duration.ofMinutes(30);

  /** Longest life of a session; covers one shift. */
  static final Duration LIFE = Duration.ofHours(10);

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
            .expireAfterAccess(IDLE)
            .maximumSize(MAX_SESSIONS)
            .build();
  }

  /** Starts a session and returns its id. */
  String start(String operator) {
    String id = token();
    sessions.put(id, new ConsoleSession(operator, token(), clock.nanoTime()));
    return id;
  }

  /** Returns the session of an id unless it has ended. */
  Optional<ConsoleSession> find(String id) {
    ConsoleSession session = sessions.getIfPresent(id);
    if (session != null && clock.nanoTime() - session.startNanos() >= LIFE.toNanos()) {
      sessions.invalidate(id);
      return Optional.empty();
    }
    return Optional.ofNullable(session);
  }

  /** Ends a session. */
  void end(String id) {
    sessions.invalidate(id);
  }

  private String token() {
    byte[] bytes = new byte[TOKEN_BYTES];
    random.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }
}
