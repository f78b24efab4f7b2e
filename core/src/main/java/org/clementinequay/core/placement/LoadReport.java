package org.clementinequay.core.placement;

/**
 * Load that an upstream reported about itself.
 *
 * @param running number of requests that are running
 * @param queued number of requests that wait in the upstream's queue
 * @param tokensPerSecond generation speed over all running requests; 0 if unknown
 * @param reportedAtNanos when the load was measured, on the receiver's monotonic clock
 */
public record LoadReport(int running, int queued, double tokensPerSecond, long reportedAtNanos) {
  /** Returns the number of requests that were running or queued when the load was measured. */
  public int outstanding() {
    return running + queued;
  }
}
