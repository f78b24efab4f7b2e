package org.clementinequay.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.clementinequay.core.time.RuntimeClock;

/** What this entry host knows of its upstreams: outstanding work, ejection and leaving marks. */
public final class UpstreamHealthTracker {
  private final RuntimeClock clock;
  private final Map<String, UpstreamHealth> byName = new HashMap<>();
  private final Duration maxProbeAfter;

  /** Creates an empty table. */
  public UpstreamHealthTracker(RuntimeClock clock) {
    this(clock, UpstreamHealth.MAX_PROBE_AFTER);
  }

  /**
   * Creates an empty table.
   *
   * @param maxProbeAfter longest pause between probes of an ejected upstream
   */
  public UpstreamHealthTracker(RuntimeClock clock, Duration maxProbeAfter) {
    this.clock = Objects.requireNonNull(clock);
    this.maxProbeAfter = Objects.requireNonNull(maxProbeAfter);
  }

  /** Returns whether new work may be sent to the upstream. */
  public synchronized boolean available(String upstream) {
    return health(upstream).available(clock.nanoTime());
  }

  /** Returns {@code healthy}, {@code ejected} or {@code leaving}. */
  public synchronized String state(String upstream) {
    UpstreamHealth health = health(upstream);
    if (health.isLeaving()) {
      return "leaving";
    }
    return health.isEjected() ? "ejected" : "healthy";
  }

  /**
   * Counts an attempt if the upstream takes new work at this moment; this is the last check before
   * a dispatch.
   */
  public synchronized boolean tryStart(String upstream) {
    UpstreamHealth health = health(upstream);
    if (!health.available(clock.nanoTime())) {
      return false;
    }
    health.recordStart();
    return true;
  }

  /** An attempt ended with a whole answer. */
  public synchronized void recordSuccess(String upstream) {
    health(upstream).recordSuccess();
  }

  /** An attempt ended for a reason that says nothing about the upstream. */
  public synchronized void recordAbandoned(String upstream) {
    health(upstream).recordAbandoned();
  }

  /** An attempt failed; returns whether this ejected the upstream. */
  public synchronized boolean recordFailure(String upstream) {
    return health(upstream).recordFailure(clock.nanoTime());
  }

  /**
   * The upstream cannot be reached, or is silent to all attempts; returns whether this ejected it.
   */
  public synchronized boolean recordUnreachable(String upstream) {
    return health(upstream).recordUnreachable(clock.nanoTime());
  }

  /**
   * Takes back all ejected upstreams and returns how many these are. For a host that was cut off
   * itself: what it found unreachable then says nothing about the upstreams.
   */
  public synchronized int readmitEjected() {
    int readmitted = 0;
    for (UpstreamHealth health : byName.values()) {
      if (health.isEjected()) {
        health.recordSuccess();
        readmitted++;
      }
    }
    return readmitted;
  }

  /** A peer ejected the upstream. */
  public synchronized void recordPeerEjection(String upstream) {
    UpstreamHealth health = health(upstream);
    if (!health.isEjected()) {
      health.eject(clock.nanoTime());
    }
  }

  /** Marks the upstream as leaving or staying; returns whether this changed the mark. */
  public synchronized boolean setLeaving(String upstream, boolean leaving) {
    UpstreamHealth health = health(upstream);
    boolean changed = health.isLeaving() != leaving;
    health.setLeaving(leaving);
    return changed;
  }

  /** Forgets the upstreams that are not listed any more. */
  public synchronized void retain(Set<String> names) {
    byName.keySet().retainAll(names);
  }

  private UpstreamHealth health(String upstream) {
    return byName.computeIfAbsent(upstream, name -> new UpstreamHealth(maxProbeAfter));
  }
}
