package org.clementinequay.core.admission;

/**
 * Estimates when a rejected caller is to come back. Load: many callers are rejected at once and
 * would return at once, when there is still no room. Their returns are spread evenly over the time
 * in which room is expected (spread as in Floyd and Jacobson, The Synchronization of Periodic
 * Routing Messages, 1994), and no caller is asked to wait longer than a third of its time, from
 * which on callers do not follow.
 */
public final class RetryAfterEstimate {
  private static final double MAX_REMAINING_SHARE = 1 / 3.0;
  private static final double MIN_MILLIS = 50;

  private RetryAfterEstimate() {}

  /**
   * Returns the time to come back in milliseconds.
   *
   * @param roomMillis time until the first upstream is offered requests again
   * @param waiting requests that wait in this host and come first
   * @param usualMillis usual time to the first event, in which the waiting ones get their room
   * @param remainingMillis time that the caller has left
   * @param randomValue uniformly distributed number from 0 (inclusive) to 1 (exclusive)
   */
  public static double millis(
      double roomMillis,
      int waiting,
      double usualMillis,
      long remainingMillis,
      double randomValue) {
    double spread = Math.max(MIN_MILLIS, usualMillis) * (1 + waiting);
    double estimate = Math.max(MIN_MILLIS, roomMillis) + randomValue * spread;
    return Math.max(0, Math.min(estimate, MAX_REMAINING_SHARE * remainingMillis));
  }
}
