package org.clementinequay.core.session;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers the version on which each session ran last, so that a session stays on it while traffic
 * moves to another version. Bounded; the sessions that were idle longest are forgotten first.
 * Thread-safe.
 */
public final class SessionVersions {
  /** Sessions kept; at 30 requests a second and 5 s of life far more than are alive. */
  private static final int MAX_SESSIONS = 4096;

  private final long lifeNanos;
  private final Map<String, Use> sessions = new LinkedHashMap<>(64, 0.75f, true);

  private record Use(String version, long atNanos) {}

  /**
   * Creates an empty memory.
   *
   * @param idleTime time without a request after which a session has ended
   */
  public SessionVersions(Duration idleTime) {
    this.lifeNanos = idleTime.toNanos();
  }

  /** Records that a request of the session ran, or still runs, on a version. */
  public synchronized void recordUse(String session, String version, long nowNanos) {
    sessions.put(session, new Use(version, nowNanos));
    Iterator<Use> oldest = sessions.values().iterator();
    while (sessions.size() > MAX_SESSIONS && oldest.hasNext()) {
      oldest.next();
      oldest.remove();
    }
  }

  /** Returns the version of a session that has not ended. */
  public synchronized Optional<String> version(String session, long nowNanos) {
    Use use = sessions.get(session);
    return use == null || nowNanos - use.atNanos() > lifeNanos
        ? Optional.empty()
        : Optional.of(use.version());
  }
}
