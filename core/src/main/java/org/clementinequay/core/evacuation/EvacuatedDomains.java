package org.clementinequay.core.evacuation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Failure domains whose upstreams get no new requests, because an operator empties them. It answers
 * maintenance of a whole domain under full load: an order is in force with the reading that shows
 * it, and a removed one ends with the reading that lacks it or says so. The state is a set that
 * only the store changes, so that hosts agree as soon as they have read the same revision, and a
 * host that is cut off from the store goes on with what it knew. Thread-safe.
 */
public final class EvacuatedDomains {
  private Map<String, Since> domains = Map.of();

  private record Since(long revision, long nanos) {}

  /**
   * Differences between a reading and the one before it.
   *
   * @param evacuated domains that are newly evacuated
   * @param takenBack domains that get requests again
   */
  public record Changes(List<String> evacuated, List<String> takenBack) {
    /** Returns whether nothing changed. */
    public boolean isEmpty() {
      return evacuated.isEmpty() && takenBack.isEmpty();
    }
  }

  /** Applies a reading of the store and returns what changed. */
  public synchronized Changes apply(EvacuationReading reading, long nowNanos) {
    Map<String, Since> next = reading.complete() ? new HashMap<>() : new HashMap<>(domains);
    reading.takenBack().forEach(next::remove);
    for (Evacuation order : reading.ordered()) {
      Since known = domains.get(order.domain());
      next.put(order.domain(), known == null ? new Since(order.revision(), nowNanos) : known);
    }
    Changes changes =
        new Changes(
            missing(next.keySet(), domains.keySet()), missing(domains.keySet(), next.keySet()));
    domains = Map.copyOf(next);
    return changes;
  }

  private static List<String> missing(Set<String> names, Set<String> known) {
    Set<String> result = new HashSet<>(names);
    result.removeAll(known);
    return new ArrayList<>(new TreeSet<>(result));
  }

  /** Returns whether the upstreams of a domain get no new requests. */
  public synchronized boolean contains(String domain) {
    return domains.containsKey(domain);
  }

  /** Returns the names of the evacuated domains in their natural order. */
  public synchronized List<String> names() {
    return List.copyOf(new TreeSet<>(domains.keySet()));
  }

  /**
   * Returns for how long this host has known that a domain is evacuated, in ms; -1 if it is not.
   */
  public synchronized long ageMillis(String domain, long nowNanos) {
    Since since = domains.get(domain);
    return since == null ? -1 : (nowNanos - since.nanos()) / 1_000_000;
  }
}
