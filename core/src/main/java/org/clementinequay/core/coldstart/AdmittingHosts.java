package org.clementinequay.core.coldstart;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.clementinequay.core.membership.RendezvousHash;

/**
 * Shares out the requests of a cold upstream without a coordinator: a few admitting hosts, the
 * first ones by rendezvous hashing (highest random weight, Thaler and Ravishankar 1998) over all
 * members, hold a whole number of slots each. A share for every host would be less than one
 * request. The members are the hosts on the platform's list, live or not, and never the links that
 * are up: a host that is cut off would otherwise take every share. A host that does not know the
 * members, or has just learned of many, holds none. Two hosts that each lack a part q of the
 * members claim 1/(1 - q) as many shares as there are. Not thread-safe.
 */
final class AdmittingHosts {
  /** Time without much growth after which the members count as known, in nanoseconds. */
  static final long SETTLED_NANOS = 3_000_000_000L;

  /** Part of the members known before by which they may grow without being unsettled. */
  private static final int TOLERATED_GROWTH_DIVISOR = 4;

  private final String self;
  private final Set<String> members = new TreeSet<>();
  private final Map<String, Integer> ranks = new HashMap<>();
  private boolean known;
  private long grownNanos;

  AdmittingHosts(String self) {
    this.self = self;
  }

  /** Adds members; none is removed, so that hosts which saw fewer of them agree sooner. */
  void add(Collection<String> names, long nowNanos) {
    Set<String> added = new HashSet<>(names);
    if (!known) {
      added.add(self);
    }
    added.removeAll(members);
    if (names.isEmpty() || added.isEmpty()) {
      return;
    }
    if (!known || added.size() * TOLERATED_GROWTH_DIVISOR > members.size()) {
      grownNanos = nowNanos;
    }
    known = true;
    members.addAll(added);
    ranks.clear();
  }

  /**
   * Returns the slots of this host in each second, of those that are shared out for an upstream.
   */
  int slots(String upstream, int shared, long nowNanos) {
    if (!known || shared <= 0 || nowNanos - grownNanos < SETTLED_NANOS) {
      return 0;
    }
    int each = Math.max(1, shared / members.size());
    return rank(upstream) < shared / each ? each : 0;
  }

  private int rank(String upstream) {
    return ranks.computeIfAbsent(
        upstream,
        u -> RendezvousHash.order("cold/" + u, members, name -> name, name -> 1.0).indexOf(self));
  }

  void retain(Set<String> upstreams) {
    ranks.keySet().retainAll(upstreams);
  }
}
