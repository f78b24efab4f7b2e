package org.clementinequay.core.rollout;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Sessions that stay on the old version in the first half of a move although their hash belongs to
 * the new one, because they ran on the old version after the order or shortly before it. A session
 * that continues at another host is unknown there; so hosts tell each other which ones they hold.
 * Not thread-safe.
 */
final class HeldSessions {
  /** Most sessions that are held; those whose hash belongs to the new version are few. */
  private static final int MAX_SESSIONS = 4096;

  private final Set<String> own = new LinkedHashSet<>();
  private final Set<String> ofPeers = new LinkedHashSet<>();

  void hold(String session) {
    if (own.size() < MAX_SESSIONS && !ofPeers.contains(session)) {
      own.add(session);
    }
  }

  void mergePeers(Collection<String> sessions) {
    for (String session : sessions) {
      if (ofPeers.size() < MAX_SESSIONS) {
        ofPeers.add(session);
      }
    }
  }

  boolean contains(String session) {
    return own.contains(session) || ofPeers.contains(session);
  }

  /** Returns the sessions that this host holds by what it saw itself. */
  List<String> own() {
    return List.copyOf(own);
  }
}
