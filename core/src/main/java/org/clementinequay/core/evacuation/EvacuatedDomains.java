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
 * only readings of the store change, own ones or those of peers, ordered by the store's clock; so
 * hosts agree, and one that is cut off goes on with what it knew. Thread-safe.
 */
public final class EvacuatedDomains {
  /** Time at which this host learned of the order, by the domain. */
  private Map<String, Long> sinceNanos = Map.of();

  private long storeMillis;

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

  /**
   * Applies a reading of the store by this host or a peer, unless it is older than one before, and
   * returns what changed.
   *
   * @param readMillis time of the reading by the store's clock, in milliseconds; 0 if unknown
   */
  public synchronized Changes apply(EvacuationReading reading, long readMillis, long nowNanos) {
    if (readMillis > 0 && readMillis < storeMillis) {
      return new Changes(List.of(), List.of());
    }
    storeMillis = Math.max(storeMillis, readMillis);
    Map<String, Long> next = reading.complete() ? new HashMap<>() : new HashMap<>(sinceNanos);
    reading.takenBack().forEach(next::remove);
    reading.ordered().forEach(name -> next.put(name, sinceNanos.getOrDefault(name, nowNanos)));
    Changes changes =
        new Changes(
            missing(next.keySet(), sinceNanos.keySet()),
            missing(sinceNanos.keySet(), next.keySet()));
    sinceNanos = Map.copyOf(next);
    return changes;
  }

  private static List<String> missing(Set<String> names, Set<String> known) {
    Set<String> result = new HashSet<>(names);
    result.removeAll(known);
    return new ArrayList<>(new TreeSet<>(result));
  }

  /** Returns whether the upstreams of a domain get no new requests. */
  public synchronized boolean contains(String domain) {
    return sinceNanos.containsKey(domain);
  }

  /** Returns the names of the evacuated domains in their natural order. */
  public synchronized List<String> names() {
    return List.copyOf(new TreeSet<>(sinceNanos.keySet()));
  }

  /** Returns for how long this host has known of the oldest evacuation, in ms; 0 without one. */
  public synchronized long longestMillis(long nowNanos) {
    return sinceNanos.values().stream()
        .mapToLong(since -> (nowNanos - since) / 1_000_000)
        .max()
        .orElse(0);
  }
}
