package org.clementinequay.core.lease;

import java.time.Duration;

/**
 * Durations that govern a lease.
 *
 * @param duration validity of the lease after a renewal
 * @param renewalInterval time between two renewals
 * @param takeOverMargin time that a candidate waits in addition to the duration, which tolerates
 *     clocks with different rates
 * @param nonPreferredDelay additional waiting time of candidates other than the preferred one
 * @param orderMargin minimum remaining validity when an order is sent
 */
public record LeaseTiming(
    Duration duration,
    Duration renewalInterval,
    Duration takeOverMargin,
    Duration nonPreferredDelay,
    Duration orderMargin) {

  /**
   * Durations for production. Three renewals fit into one validity period, so two failed calls do
   * not end the lease. The take-over margin tolerates clock rates that differ by a fifth.
   */
  public static final LeaseTiming PRODUCTION =
      new LeaseTiming(
          Duration.ofSeconds(10),
          Duration.ofSeconds(3),
          Duration.ofSeconds(2),
          Duration.ofSeconds(2),
          Duration.ofSeconds(1));
}
