package org.clementinequay.core.limit;

import java.time.Duration;

/**
 * Sheds requests that would not be answered before their deadline. Classes of a larger priority
 * number, which are less important, are shed at a shorter wait, so that the lowest class goes
 * first. Safe for concurrent use.
 */
public final class LoadShedder {
  /** Part of the remaining time that may be spent waiting, for priority 0. */
  private static final double WAIT_PART = 0.8;

  /** Factor on that part for each step of priority. */
  private static final double PART_PER_PRIORITY = 0.7;

  /**
   * Admits or sheds a request before any byte of it is offered to an upstream.
   *
   * @param priority priority of the request class; 0 is the highest
   * @param remainingMillis time left until the deadline
   * @param estimatedWaitMillis estimated wait at the chosen upstream; NaN if there is no estimate
   * @param nowNanos monotonic time
   */
  public Admission admit(
      int priority, long remainingMillis, double estimatedWaitMillis, long nowNanos) {
    double bound = remainingMillis * WAIT_PART * Math.pow(PART_PER_PRIORITY, priority);
    if (Double.isNaN(estimatedWaitMillis) || estimatedWaitMillis <= bound) {
      return Admission.ADMITTED;
    }
    return Admission.refused(
        Admission.Cause.OVERLOAD, Duration.ofMillis((long) (estimatedWaitMillis - bound) + 1));
  }
}
