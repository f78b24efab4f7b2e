package org.clementinequay.core.stop;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides which requests a stopping host still passes on to an upstream. A request that would be
 * broken off at the end is refused before it is passed on, so that its caller can use another host
 * at once, also where the request must not run twice. Immutable.
 */
public final class StopAdmission {
  private final StopSchedule schedule;
  private final long startNanos;

  /**
   * Creates the rule for a stop that begins now.
   *
   * @param startNanos monotonic time at which the stop begins
   */
  public StopAdmission(StopSchedule schedule, long startNanos) {
    this.schedule = schedule;
    this.startNanos = startNanos;
  }

  /**
   * Returns whether to pass on a request.
   *
   * @param nowNanos monotonic time
   * @param receivedNanos monotonic time at which the whole request was received
   * @param limit time within which the request ends in any case, at its deadline at the latest
   * @param usual time that most such requests take; empty if it is unknown
   */
  public boolean admits(
      long nowNanos, long receivedNanos, Duration limit, Optional<Duration> usual) {
    Duration left = schedule.end().minusNanos(nowNanos - startNanos);
    if (limit.compareTo(left) <= 0) {
      return true;
    }
    boolean late = receivedNanos - startNanos >= schedule.certainty().toNanos();
    return !late && usual.orElse(Duration.ZERO).compareTo(left) < 0;
  }
}
