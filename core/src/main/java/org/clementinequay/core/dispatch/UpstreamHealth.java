package org.clementinequay.core.dispatch;

import java.time.Duration;

/**
 * State of one upstream as seen by this entry host: a circuit breaker with single-request probes,
 * and the leaving mark. Not thread-safe; {@link UpstreamHealthTracker} serialises access.
 */
final class UpstreamHealth {
  /** Failures in a row that eject an upstream; two may be bad luck of one connection. */
  static final int FAILURES_TO_EJECT = 3;

  /** First pause before a probe. */
  static final Duration FIRST_PROBE_AFTER = Duration.ofSeconds(1);

  /** Longest pause between probes; a recovered upstream is back within this time. */
  static final Duration MAX_PROBE_AFTER = Duration.ofSeconds(15);

  private final Duration maxProbeAfter;
  private int failuresInRow;
  private boolean ejected;
  private boolean probing;
  private boolean leaving;
  private long probeAtNanos;
  private Duration pause = FIRST_PROBE_AFTER;

  UpstreamHealth(Duration maxProbeAfter) {
    this.maxProbeAfter = maxProbeAfter;
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
    failuresInRow = 0;
    ejected = false;
    probing = false;
    pause = FIRST_PROBE_AFTER;
  }

  void recordAbandoned() {
    probing = false;
  }

  boolean recordFailure(long nowNanos) {
    failuresInRow++;
    boolean wasEjected = ejected;
    if (probing || failuresInRow >= FAILURES_TO_EJECT) {
      eject(nowNanos);
    }
    probing = false;
    return ejected && !wasEjected;
  }

  /** Ejects at once; several attempts that fail together count as one failure. */
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
      Duration doubled = pause.multipliedBy(2);
      pause = doubled.compareTo(maxProbeAfter) > 0 ? maxProbeAfter : doubled;
    }
    ejected = true;
    probeAtNanos = nowNanos + pause.toNanos();
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
