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
 * The links that are up, one for each host. Two connections between the same two processes are
 * settled by a rule that both ends evaluate alike: a later connection dialled by the same end
 * replaces the earlier one, because that end has given the earlier one up; of two connections
 * dialled by different ends, the one dialled by the lower incarnation stays, unless it has gone
 * quiet.
 */
final class LinkTable {
  /** Processes to remember as replaced; more than all restarts of a day (140). */
  private static final int MAX_REPLACED = 1024;

  private final Incarnation own;
  private final long quietNanos;
  private final ConcurrentMap<Incarnation, PeerLink> byIncarnation = new ConcurrentHashMap<>();
  private final ConcurrentMap<String, PeerLink> byHost = new ConcurrentHashMap<>();
  private final Map<Incarnation, Boolean> replaced =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Incarnation, Boolean> eldest) {
          return size() > MAX_REPLACED;
        }
      };

  /**
   * Creates an empty table.
   *
   * @param quietNanos silence after which a link loses against any new connection
   */
  LinkTable(Incarnation own, long quietNanos) {
    this.own = own;
    this.quietNanos = quietNanos;
  }

  /** What to do with a connection that has just come up. */
  enum Verdict {
    /** It is the only link to that host. */
    ADDED(true, Optional.empty()),
    /** It replaces a link to the same process. */
    REPLACED_LINK(true, Optional.of(Counter.DUPLICATE_CONNECTIONS)),
    /** It replaces a link to an earlier process of that host. */
    REPLACED_PROCESS(true, Optional.empty()),
    /** Another connection to the same process is kept. */
    DUPLICATE(false, Optional.of(Counter.DUPLICATE_CONNECTIONS)),
    /** A later process of that host has had a link. */
    STALE(false, Optional.of(Counter.STALE_CONNECTIONS)),
    /** The other end is this process. */
    OWN(false, Optional.of(Counter.OWN_CONNECTIONS));

    private final boolean kept;
    private final Optional<Counter> counter;

    Verdict(boolean kept, Optional<Counter> counter) {
      this.kept = kept;
      this.counter = counter;
    }

    /** Returns what counts this verdict, besides the link that came up. */
    Optional<Counter> counter() {
      return counter;
    }

    /** Returns whether the connection becomes the link to that host. */
    boolean kept() {
      return kept;
    }
  }

  /**
   * Answer to {@link #admit}.
   *
   * @param verdict what was decided
   * @param loser link that is no longer in the table and must be closed
   */
  record Admission(Verdict verdict, Optional<PeerLink> loser) {}

  /** Decides on a connection whose other end has proved to be alive, and adds it if it is kept. */
  synchronized Admission admit(PeerLink link, long nowNanos) {
    Incarnation remote = link.remote().incarnation();
    if (remote.equals(own)) {
      return new Admission(Verdict.OWN, Optional.empty());
    }
    if (replaced.containsKey(remote)) {
      return new Admission(Verdict.STALE, Optional.empty());
    }
    PeerLink existing = byHost.get(link.remote().host());
    if (existing == null) {
      put(link);
      return new Admission(Verdict.ADDED, Optional.empty());
    }
    if (!existing.remote().incarnation().equals(remote)) {
      replaced.put(existing.remote().incarnation(), true);
      byIncarnation.remove(existing.remote().incarnation());
      put(link);
      return new Admission(Verdict.REPLACED_PROCESS, Optional.of(existing));
    }
    if (!wins(link, existing, nowNanos)) {
      return new Admission(Verdict.DUPLICATE, Optional.empty());
    }
    put(link);
    return new Admission(Verdict.REPLACED_LINK, Optional.of(existing));
  }

  private boolean wins(PeerLink link, PeerLink existing, long nowNanos) {
    if (link.dialled() == existing.dialled() || existing.silenceNanos(nowNanos) > quietNanos) {
      return true;
    }
    boolean ownIsLower = own.compareTo(link.remote().incarnation()) < 0;
    return link.dialled() == ownIsLower;
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
