package org.clementinequay.core.placement;

/** Priority sent to an engine with an attempt; 0 is served first. */
public final class DispatchPriority {
  /**
   * Requests with at most this much time left, in milliseconds, get the highest priority. Strict
   * class order would let a short urgent request, such as an allergen flag, wait behind all long
   * requests of higher classes.
   */
  private static final long URGENT_MILLIS = 5_000;

  private DispatchPriority() {}

  /**
   * Returns the priority of an attempt: 0 shortly before the deadline, else that of its class.
   *
   * @param classPriority priority of the request class; 0 is the highest
   * @param remainingMillis time left until the deadline, in milliseconds
   */
  public static int of(int classPriority, long remainingMillis) {
    return remainingMillis <= URGENT_MILLIS ? 0 : classPriority;
  }
}
