package org.clementinequay.core.placement;

/** Priority that an engine is told for an attempt; 0 is served first. */
public final class DispatchPriority {
  /**
   * Requests that must be answered within this time are served with the first, in milliseconds.
   * Under strict class order a short allergen flag waits behind all long sheets.
   */
  private static final long URGENT_MILLIS = 5_000;

  private DispatchPriority() {}

  /**
   * Returns the priority of an attempt.
   *
   * @param classPriority priority of the request class; 0 is the highest
   * @param remainingMillis time left until the deadline
   */
  public static int of(int classPriority, long remainingMillis) {
    return remainingMillis <= URGENT_MILLIS ? 0 : classPriority;
  }
}
