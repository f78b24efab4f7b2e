package org.clementinequay.core.coldstart;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
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

  /** Time off the list after which a member is forgotten; two readings of the list, in ns. */
  static final long FORGET_NANOS = 60_000_000_000L;

  private final String self;

  /** Time at which each member was last listed or linked, by its name. */
  private final Map<String, Long> members = new TreeMap<>();

  private final Map<String, Integer> ranks = new HashMap<>();
  private boolean known;
  private long grownNanos;

  AdmittingHosts(String self) {
    this.self = self;
  }

  /**
   * Replaces the members by those that are listed now and those that were until a short time ago,
   * so that hosts which read the list at different times agree, and slots of hosts that are gone
   * come back.
   */
  void update(Collection<String> names, long nowNanos) {
    if (names.isEmpty()) {
      return;
    }
    Set<String> before = Set.copyOf(members.keySet());
    names.forEach(name -> members.put(name, nowNanos));
    members.put(self, nowNanos);
    members.values().removeIf(listed -> nowNanos - listed > FORGET_NANOS);
    if (members.keySet().equals(before)) {
      return;
    }
    long added = members.keySet().stream().filter(name -> !before.contains(name)).count();
    if (!known || added * TOLERATED_GROWTH_DIVISOR > before.size()) {
      grownNanos = nowNanos;
    }
    known = true;
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
        u ->
            RendezvousHash.order("cold/" + u, members.keySet(), name -> name, name -> 1.0)
                .indexOf(self));
  }

  void retain(Set<String> upstreams) {
    ranks.keySet().retainAll(upstreams);
  }
}
