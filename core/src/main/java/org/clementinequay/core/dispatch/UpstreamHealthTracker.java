package org.clementinequay.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Tracks which upstreams this entry host has ejected after failures and which ones are leaving.
 * Thread-safe.
 */
public final class UpstreamHealthTracker {
  private final RuntimeClock clock;
  private final Map<String, UpstreamHealth> healthByName = new HashMap<>();
  private final Duration maxProbeDelay;

  /** Creates a tracker with the default longest delay between probes of an ejected upstream. */
  public UpstreamHealthTracker(RuntimeClock clock) {
    this(clock, UpstreamHealth.MAX_PROBE_DELAY);
  }

  /**
   * Creates a tracker.
   *
   * @param maxProbeDelay longest delay between probes of an ejected upstream
   */
  public UpstreamHealthTracker(RuntimeClock clock, Duration maxProbeDelay) {
    this.clock = Objects.requireNonNull(clock);
    this.maxProbeDelay = Objects.requireNonNull(maxProbeDelay);
  }

  /** Returns whether a new attempt, or a probe if the upstream is ejected, may be sent to it. */
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
   * Starts an attempt if the upstream is available now, and returns whether it is. This is the last
   * check before the attempt is sent; an attempt on an ejected upstream becomes its only probe.
   */
  public synchronized boolean tryStart(String upstream) {
    UpstreamHealth health = health(upstream);
    if (!health.available(clock.nanoTime())) {
      return false;
    }
    health.recordStart();
    return true;
  }

  /** Records that an attempt ended with a complete answer, which readmits an ejected upstream. */
  public synchronized void recordSuccess(String upstream) {
    health(upstream).recordSuccess();
  }

  /** Records that an attempt ended for a reason that says nothing about the upstream's health. */
  public synchronized void recordAbandoned(String upstream) {
    health(upstream).recordAbandoned();
  }

  /** Records that an attempt failed; returns whether this failure ejected the upstream. */
  public synchronized boolean recordFailure(String upstream) {
    return health(upstream).recordFailure(clock.nanoTime());
  }

  /**
   * Records that the upstream cannot be reached or sends nothing on any attempt, which ejects it;
   * returns false if it was already ejected.
   */
  public synchronized boolean recordUnreachable(String upstream) {
    return health(upstream).recordUnreachable(clock.nanoTime());
  }

  /**
   * Readmits all ejected upstreams and returns their number. Used after this host itself was cut
   * off from the network: what it found unreachable then says nothing about the upstreams.
   */
  public synchronized int readmitEjected() {
    int readmitted = 0;
    for (UpstreamHealth health : healthByName.values()) {
      if (health.isEjected()) {
        health.recordSuccess();
        readmitted++;
      }
    }
    return readmitted;
  }

  /** Records that a peer ejected the upstream, which ejects it here too. */
  public synchronized void recordPeerEjection(String upstream) {
    UpstreamHealth health = health(upstream);
    if (!health.isEjected()) {
      health.eject(clock.nanoTime());
    }
  }

  /** Marks the upstream as leaving or staying; returns whether this changed its state. */
  public synchronized boolean setLeaving(String upstream, boolean leaving) {
    UpstreamHealth health = health(upstream);
    boolean changed = health.isLeaving() != leaving;
    health.setLeaving(leaving);
    return changed;
  }

  /** Removes the state of all upstreams that are not among the given names. */
  public synchronized void retain(Set<String> names) {
    healthByName.keySet().retainAll(names);
  }

  private UpstreamHealth health(String upstream) {
    return healthByName.computeIfAbsent(upstream, name -> new UpstreamHealth(maxProbeDelay));
  }
}
