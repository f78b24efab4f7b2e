package org.clementinequay.core.placement;

/**
 * An upstream's report of its load.
 *
 * @param running requests running
 * @param queued requests waiting
 * @param tokensPerSecond generation speed over all running requests; 0 if unknown
 * @param reportedAtNanos when the load was measured, on the receiver's monotonic clock
 */
public record LoadReport(int running, int queued, double tokensPerSecond, long reportedAtNanos) {
  /** Returns the number of requests that the upstream held when it measured its load. */
  public int outstanding() {
    return running + queued;
  }
}
