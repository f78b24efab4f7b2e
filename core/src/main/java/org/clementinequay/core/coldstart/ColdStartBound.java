package org.clementinequay.core.coldstart;

/**
 * How many requests a cold upstream may get in any second from all hosts together.
 *
 * @param factor factor on the requests a second that the upstream's service states
 * @param extra requests that are added
 */
public record ColdStartBound(double factor, double extra) {
  /** Largest number of slots that are shared out; more is no limit for any host. */
  private static final int MAX_SLOTS = 1_000_000;

  /** Returns the most requests that may arrive within one second. */
  public int most(double perSecond) {
    return (int) Math.min(MAX_SLOTS, Math.floor(perSecond * factor + extra));
  }

  /**
   * Returns the requests a second that are shared out among the hosts. The other half of what is
   * allowed is left for hosts that disagree on the members.
   */
  public int shared(double perSecond) {
    int most = most(perSecond);
    int half = most > 1 ? most / 2 : most;
    return (int) Math.min(half, Math.max(1, Math.floor(perSecond)));
  }
}
