package org.clementinequay.core.session;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Stores the version on which each session ran last, so that a session stays on it while traffic is
 * moved to another version. Bounded, with eviction of the sessions that were idle longest.
 * Thread-safe.
 */
public final class SessionVersions {
  /**
   * Maximum number of sessions; far above the number in use at 30 requests a second and an idle
   * time of 5 s.
   */
  private static final int MAX_SESSIONS = 4096;

  private final long idleNanos;
  private final Map<String, LastUse> sessions = new LinkedHashMap<>(64, 0.75f, true);

  private record LastUse(String version, long usedNanos) {}

  /**
   * Creates an empty store.
   *
   * @param idleTime time without a request after which a session is regarded as ended
   */
  public SessionVersions(Duration idleTime) {
    this.idleNanos = idleTime.toNanos();
  }

  /** Records that a request of the session ran, or is running, on a version. */
  public synchronized void recordUse(String session, String version, long nowNanos) {
    sessions.put(session, new LastUse(version, nowNanos));
    Iterator<LastUse> leastRecent = sessions.values().iterator();
    while (sessions.size() > MAX_SESSIONS && leastRecent.hasNext()) {
      leastRecent.next();
      leastRecent.remove();
    }
  }

  /** Returns the version of each session that has not ended. */
  public synchronized Map<String, String> inProgress(long nowNanos) {
    Map<String, String> result = new HashMap<>();
    sessions.forEach(
        (session, use) -> {
          if (nowNanos - use.usedNanos() <= idleNanos) {
            result.put(session, use.version());
          }
        });
    return result;
  }

  /** Returns the version of a session; empty if it is unknown or has ended. */
  public synchronized Optional<String> version(String session, long nowNanos) {
    LastUse use = sessions.get(session);
    return use == null || nowNanos - use.usedNanos() > idleNanos
        ? Optional.empty()
        : Optional.of(use.version());
  }
}
