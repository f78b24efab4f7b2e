package org.clementinequay.core.dispatch;

import java.time.Duration;

/**
 * Health of one upstream as seen by this entry host: a circuit breaker that probes with single
 * requests, and whether the upstream is leaving. Not thread-safe; {@link UpstreamHealthTracker}
 * serialises access.
 */
final class UpstreamHealth {
  /** Consecutive failures that eject an upstream; two may be due to a single bad connection. */
  static final int FAILURES_TO_EJECT = 3;

  /** Time from the ejection to the first probe; doubled after each failed probe. */
  static final Duration INITIAL_PROBE_DELAY = Duration.ofSeconds(1);

  /**
   * Default upper bound of the time between probes; a recovered upstream takes requests again
   * within this time.
   */
  static final Duration MAX_PROBE_DELAY = Duration.ofSeconds(15);

  private final Duration maxProbeDelay;
  private int consecutiveFailures;
  private boolean ejected;
  private boolean probing;
  private boolean leaving;
  private long probeAtNanos;
  private Duration probeDelay = INITIAL_PROBE_DELAY;

  UpstreamHealth(Duration maxProbeDelay) {
    this.maxProbeDelay = maxProbeDelay;
  }

  boolean available(long nowNanos) {
    return !leaving && (!ejected || (!probing && nowNanos - probeAtNanos >= 0));
  }

  void recordStart() {
    if (ejected) {
      probing = true;
    }
  }

  void recordSuccess() {
    consecutiveFailures = 0;
    ejected = false;
    probing = false;
    probeDelay = INITIAL_PROBE_DELAY;
  }

  void recordAbandoned() {
    probing = false;
  }

  boolean recordFailure(long nowNanos) {
    consecutiveFailures++;
    boolean wasEjected = ejected;
    if (probing || consecutiveFailures >= FAILURES_TO_EJECT) {
      eject(nowNanos);
    }
    probing = false;
    return ejected && !wasEjected;
  }

  /**
   * Ejects the upstream at once, without waiting for further failures. Several attempts that fail
   * together count as one failure: they do not lengthen the time to the next probe.
   */
  boolean recordUnreachable(long nowNanos) {
    boolean wasEjected = ejected;
    if (!ejected || probing) {
      eject(nowNanos);
    }
    probing = false;
    return !wasEjected;
  }

  void eject(long nowNanos) {
    if (ejected) {
      Duration doubled = probeDelay.multipliedBy(2);
      probeDelay = doubled.compareTo(maxProbeDelay) > 0 ? maxProbeDelay : doubled;
    }
    ejected = true;
    probeAtNanos = nowNanos + probeDelay.toNanos();
  }

  void setLeaving(boolean value) {
    leaving = value;
  }

  boolean isLeaving() {
    return leaving;
  }

  boolean isEjected() {
    return ejected;
  }
}
