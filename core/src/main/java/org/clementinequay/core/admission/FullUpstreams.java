package org.clementinequay.core.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Upstreams that rejected a request as full, and until when none is offered to them. Load: an
 * upstream stays full for a while, and each request that many hosts offer meanwhile is rejected.
 * The pause doubles with each rejection in a row and has a random part (truncated binary
 * exponential back-off, Metcalfe and Boggs, 1976). Thread-safe.
 */
public final class FullUpstreams {
  private static final long FIRST_PAUSE_NANOS = 50_000_000L;
  private static final long MAX_PAUSE_NANOS = 800_000_000L;

  private final Map<String, Pause> pauses = new HashMap<>();

  private record Pause(long lengthNanos, long endNanos) {}

  /**
   * Records a rejection.
   *
   * @param randomValue uniformly distributed number from 0 (inclusive) to 1 (exclusive)
   */
  public synchronized void recordFull(String upstream, double randomValue, long nowNanos) {
    Pause last = pauses.get(upstream);
    long length =
        last == null ? FIRST_PAUSE_NANOS : Math.min(MAX_PAUSE_NANOS, 2 * last.lengthNanos());
    long end = nowNanos + (long) (length * (0.5 + randomValue));
    pauses.put(upstream, new Pause(length, end));
  }

  /**
   * Records that a request is offered. Until the upstream answers, no other one is offered to an
   * upstream that was full (half-open state of a circuit breaker, Nygard, Release It!, 2007).
   */
  public synchronized void recordOffer(String upstream, long nowNanos) {
    pauses.computeIfPresent(
        upstream, (id, pause) -> new Pause(pause.lengthNanos(), nowNanos + pause.lengthNanos()));
  }

  /** Records that an upstream took a request or finished one, so that it has room. */
  public synchronized void recordRoom(String upstream) {
    pauses.remove(upstream);
  }

  /** Returns whether no request is offered to an upstream now. */
  public synchronized boolean full(String upstream, long nowNanos) {
    Pause pause = pauses.get(upstream);
    return pause != null && nowNanos - pause.endNanos() < 0;
  }

  /** Returns all upstreams to which no request is offered now. */
  public synchronized Set<String> allFull(long nowNanos) {
    if (pauses.isEmpty()) {
      return Set.of();
    }
    Set<String> full = new HashSet<>(pauses.keySet());
    full.removeIf(upstream -> !full(upstream, nowNanos));
    return full;
  }

  /** Returns the time until the first of the upstreams is offered requests again, 0 if one is. */
  public synchronized long nanosUntilRoom(Collection<String> upstreams, long nowNanos) {
    long least = Long.MAX_VALUE;
    for (String upstream : upstreams) {
      Pause pause = pauses.get(upstream);
      least = Math.min(least, pause == null ? 0 : Math.max(0, pause.endNanos() - nowNanos));
    }
    return least == Long.MAX_VALUE ? 0 : least;
  }

  /** Removes the state of all upstreams that are not among the given ones. */
  public synchronized void retain(Set<String> upstreams) {
    pauses.keySet().retainAll(upstreams);
  }
}
