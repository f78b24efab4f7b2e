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
   * @param limit time within which the request ends in any case, at its deadline at the latest
   * @param usual time that most such requests take; empty if it is unknown
   */
  public boolean admits(long nowNanos, Duration limit, Optional<Duration> usual) {
    Duration elapsed = Duration.ofNanos(nowNanos - startNanos);
    Duration left = schedule.end().minus(elapsed);
    if (limit.compareTo(left) <= 0) {
      return true;
    }
    return elapsed.compareTo(schedule.certainty()) < 0
        && usual.map(time -> time.compareTo(left) <= 0).orElse(true);
  }
}
