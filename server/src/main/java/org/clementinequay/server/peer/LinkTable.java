package org.clementinequay.server.peer;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.clementinequay.core.Incarnation;
import org.clementinequay.server.peer.PeerStatistics.Counter;

/**
 * Holds the links that are up, at most one for each host. If there are two connections between the
 * same two processes, both ends apply the same rule to keep one: a later connection dialled by the
 * same end replaces the earlier one, because that end has abandoned the earlier one; of two
 * connections dialled by different ends, the one dialled by the lower incarnation is kept, unless
 * it has been silent for too long.
 */
final class LinkTable {
  /** Number of replaced processes to remember; more than all restarts of a day (140). */
  private static final int MAX_REPLACED_PROCESSES = 1024;

  private final Incarnation self;
  private final long maxSilenceNanos;
  private final ConcurrentMap<Incarnation, PeerLink> byIncarnation = new ConcurrentHashMap<>();
  private final ConcurrentMap<String, PeerLink> byHost = new ConcurrentHashMap<>();
  private final Map<Incarnation, Boolean> replacedProcesses =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Incarnation, Boolean> eldest) {
          return size() > MAX_REPLACED_PROCESSES;
        }
      };

  /**
   * Creates an empty table.
   *
   * @param maxSilenceNanos time without an acknowledged heartbeat after which a link is replaced by
   *     any new connection to the same process
   */
  LinkTable(Incarnation self, long maxSilenceNanos) {
    this.self = self;
    this.maxSilenceNanos = maxSilenceNanos;
  }

  /** Decision on a connection that has just come up. */
  enum Decision {
    /** It is the only link to that host. */
    ADDED(true, Optional.empty()),
    /** It replaces a link to the same process. */
    REPLACED_LINK(true, Optional.of(Counter.DUPLICATE_CONNECTIONS)),
    /** It replaces a link to an earlier process of that host. */
    REPLACED_PROCESS(true, Optional.empty()),
    /** It is closed because another connection to the same process is kept. */
    DUPLICATE(false, Optional.of(Counter.DUPLICATE_CONNECTIONS)),
    /** It is closed because a later process of that host has had a link. */
    STALE(false, Optional.of(Counter.STALE_CONNECTIONS)),
    /** It is closed because the other end is this process. */
    OWN(false, Optional.of(Counter.OWN_CONNECTIONS));

    private final boolean kept;
    private final Optional<Counter> counter;

    Decision(boolean kept, Optional<Counter> counter) {
      this.kept = kept;
      this.counter = counter;
    }

    /** Returns the counter of this decision; empty if only the opened link is counted. */
    Optional<Counter> counter() {
      return counter;
    }

    /** Returns whether the connection becomes the link to that host. */
    boolean kept() {
      return kept;
    }
  }

  /**
   * Result of {@link #admit}.
   *
   * @param decision what was decided
   * @param displaced link that is no longer in the table and must be closed
   */
  record Admission(Decision decision, Optional<PeerLink> displaced) {}

  /** Decides on a connection whose other end has answered a heartbeat; adds it if it is kept. */
  synchronized Admission admit(PeerLink link, long nowNanos) {
    Incarnation remote = link.remote().incarnation();
    if (remote.equals(self)) {
      return new Admission(Decision.OWN, Optional.empty());
    }
    if (replacedProcesses.containsKey(remote)) {
      return new Admission(Decision.STALE, Optional.empty());
    }
    PeerLink existing = byHost.get(link.remote().host());
    if (existing == null) {
      put(link);
      return new Admission(Decision.ADDED, Optional.empty());
    }
    if (!existing.remote().incarnation().equals(remote)) {
      replacedProcesses.put(existing.remote().incarnation(), true);
      byIncarnation.remove(existing.remote().incarnation());
      put(link);
      return new Admission(Decision.REPLACED_PROCESS, Optional.of(existing));
    }
    if (!supersedes(link, existing, nowNanos)) {
      return new Admission(Decision.DUPLICATE, Optional.empty());
    }
    put(link);
    return new Admission(Decision.REPLACED_LINK, Optional.of(existing));
  }

  private boolean supersedes(PeerLink link, PeerLink existing, long nowNanos) {
    if (link.dialled() == existing.dialled() || existing.silenceNanos(nowNanos) > maxSilenceNanos) {
      return true;
    }
    boolean selfIsLower = self.compareTo(link.remote().incarnation()) < 0;
    return link.dialled() == selfIsLower;
  }

  private void put(PeerLink link) {
    byHost.put(link.remote().host(), link);
    byIncarnation.put(link.remote().incarnation(), link);
  }

  /** Removes a link; returns whether it was in the table. */
  synchronized boolean remove(PeerLink link) {
    if (link.remote() == null || !byHost.remove(link.remote().host(), link)) {
      return false;
    }
    byIncarnation.remove(link.remote().incarnation(), link);
    return true;
  }

  boolean isLinked(String host) {
    return byHost.containsKey(host);
  }

  Optional<PeerLink> find(Incarnation incarnation) {
    return Optional.ofNullable(byIncarnation.get(incarnation));
  }

  List<PeerLink> links() {
    return new ArrayList<>(byHost.values());
  }
}
