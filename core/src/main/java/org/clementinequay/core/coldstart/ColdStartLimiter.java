package org.clementinequay.core.coldstart;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Limits the requests of this host to upstreams that have just started, which crash under a herd.
 * The load it answers is a failure domain whose upstreams come back together, while hundreds of
 * hosts see them idle. What all hosts send within any second is bounded by the slots that {@link
 * AdmittingHosts} shares out; a host counts what it sent in the last second (sliding window log). A
 * request of a host without a slot goes elsewhere. Thread-safe.
 */
public final class ColdStartLimiter {
  /** Length of the window, with a reserve for clocks that differ in speed, in nanoseconds. */
  static final long WINDOW_NANOS = 1_050_000_000L;

  private final Optional<ColdStartBound> bound;
  private final AdmittingHosts hosts;
  private final Map<String, Cold> coldById = new HashMap<>();
  private volatile boolean anyCold;
  private long heldBack;

  private static final class Cold {
    private final Deque<Long> sentNanos = new ArrayDeque<>();
    private long untilNanos;
    private double perSecond;
  }

  /**
   * Creates a limiter.
   *
   * @param self name of this host
   * @param bound bound over all hosts; without it nothing is limited
   */
  public ColdStartLimiter(String self, Optional<ColdStartBound> bound) {
    this.hosts = new AdmittingHosts(self);
    this.bound = bound;
  }

  /** Records the entry hosts of the deployment, as the platform lists them now. */
  public synchronized void updateMembers(Collection<String> names, long nowNanos) {
    hosts.update(names, nowNanos);
  }

  /**
   * Records that an upstream is cold.
   *
   * @param perSecond requests a second that it bears meanwhile; not positive for no limit
   * @return whether it was not cold before
   */
  public synchronized boolean markCold(
      String upstreamId, double perSecond, long untilNanos, long nowNanos) {
    if (bound.isEmpty() || !(perSecond > 0) || untilNanos - nowNanos <= 0) {
      return false;
    }
    Cold known = coldNow(upstreamId, nowNanos);
    Cold cold = coldById.computeIfAbsent(upstreamId, id -> new Cold());
    cold.perSecond = perSecond;
    cold.untilNanos =
        known == null || untilNanos - cold.untilNanos > 0 ? untilNanos : cold.untilNanos;
    anyCold = true;
    return known == null;
  }

  /** Returns whether this host may send a request to an upstream now. */
  public boolean available(String upstreamId, long nowNanos) {
    return !anyCold || freeSlots(upstreamId, nowNanos) > 0;
  }

  /** Takes a slot for a request that is sent now; true without one if the upstream is not cold. */
  public boolean tryAdmit(String upstreamId, long nowNanos) {
    return !anyCold || take(upstreamId, nowNanos);
  }

  private synchronized boolean take(String upstreamId, long nowNanos) {
    if (freeSlots(upstreamId, nowNanos) <= 0) {
      heldBack++;
      return false;
    }
    Cold cold = coldNow(upstreamId, nowNanos);
    if (cold != null) {
      cold.sentNanos.addLast(nowNanos);
    }
    return true;
  }

  private synchronized int freeSlots(String upstreamId, long nowNanos) {
    Cold cold = coldNow(upstreamId, nowNanos);
    if (cold == null) {
      return Integer.MAX_VALUE;
    }
    while (!cold.sentNanos.isEmpty() && nowNanos - cold.sentNanos.peekFirst() >= WINDOW_NANOS) {
      cold.sentNanos.removeFirst();
    }
    return share(upstreamId, cold, nowNanos) - cold.sentNanos.size();
  }

  /** Returns the slots of this host a second at an upstream; 0 if it is not cold. */
  public synchronized int share(String upstreamId, long nowNanos) {
    Cold cold = coldNow(upstreamId, nowNanos);
    return cold == null ? 0 : share(upstreamId, cold, nowNanos);
  }

  private int share(String upstreamId, Cold cold, long nowNanos) {
    return hosts.slots(upstreamId, bound.orElseThrow().shared(cold.perSecond), nowNanos);
  }

  private Cold coldNow(String upstreamId, long nowNanos) {
    Cold cold = coldById.get(upstreamId);
    if (cold != null && nowNanos - cold.untilNanos >= 0) {
      coldById.remove(upstreamId);
      anyCold = !coldById.isEmpty();
      return null;
    }
    return cold;
  }

  /** Returns the number of upstreams that are cold. */
  public synchronized int coldUpstreams(long nowNanos) {
    Set.copyOf(coldById.keySet()).forEach(id -> coldNow(id, nowNanos));
    return coldById.size();
  }

  /** Returns the slots a second that this host holds at all cold upstreams together. */
  public synchronized int shares(long nowNanos) {
    return Set.copyOf(coldById.keySet()).stream().mapToInt(id -> share(id, nowNanos)).sum();
  }

  /** Returns the number of requests that were held back as the last step before their send. */
  public synchronized long heldBack() {
    return heldBack;
  }

  /** Removes the state of all upstreams that are not among the given ids. */
  public synchronized void retain(Set<String> ids) {
    coldById.keySet().retainAll(ids);
    hosts.retain(ids);
    anyCold = !coldById.isEmpty();
  }
}
