package org.clementinequay.core.rollout;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Sessions that stay on the old version in the first half of a move although their hash belongs to
 * the new one, because they ran on the old version after the order or shortly before it. A session
 * that continues at another host is unknown there; so hosts tell each other which ones they hold,
 * within a domain and, summed up, between domains. Callers choose the ids, so only hashes of 64
 * bits are kept and sent (FNV-1a); two ids with the same hash would both stay on the old version.
 * Not thread-safe.
 */
final class HeldSessions {
  /** Most sessions that are held; those whose hash belongs to the new version are few. */
  private static final int MAX_SESSIONS = 4096;

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private final Set<Long> own = new LinkedHashSet<>();
  private final Set<Long> ofDomain = new LinkedHashSet<>();
  private final Set<Long> ofOtherDomains = new LinkedHashSet<>();

  void hold(String session) {
    long hash = hash(session);
    if (own.size() < MAX_SESSIONS && !ofDomain.contains(hash)) {
      own.add(hash);
    }
  }

  /**
   * Adds what a peer holds.
   *
   * @param near whether the peer is in the failure domain of this host
   */
  void mergePeers(Collection<Long> sessions, boolean near) {
    Set<Long> known = near ? ofDomain : ofOtherDomains;
    for (Long session : sessions) {
      if (known.size() < MAX_SESSIONS) {
        known.add(session);
      }
    }
  }

  boolean contains(String session) {
    long hash = hash(session);
    return own.contains(hash) || ofDomain.contains(hash) || ofOtherDomains.contains(hash);
  }

  private static long hash(String session) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < session.length(); i++) {
      hash = (hash ^ session.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }

  /** Returns the hashes of the sessions that this host holds by what it saw itself. */
  List<Long> own() {
    return List.copyOf(own);
  }

  /** Returns the hashes that this host and its failure domain hold, for other domains. */
  List<Long> ofDomain() {
    Set<Long> all = new LinkedHashSet<>(own);
    all.addAll(ofDomain);
    return List.copyOf(all);
  }
}
