package org.clementinequay.core.lease;

import java.time.Duration;

/**
 * Times of a lease.
 *
 * @param duration validity after a renewal
 * @param renewalInterval time between two renewals
 * @param takeOverMargin time that a candidate waits beyond the duration, for clocks whose rates
 *     differ
 * @param nonPreferredDelay time that candidates other than the preferred one wait in addition
 * @param orderMargin validity that must remain when an order is sent
 */
public record LeaseTiming(
    Duration duration,
    Duration renewalInterval,
    Duration takeOverMargin,
    Duration nonPreferredDelay,
    Duration orderMargin) {

  /**
   * The times of a running deployment. Three renewals fit into a validity, so that two failed calls
   * do not end it; the take-over margin tolerates clock rates that differ by a fifth.
   */
  public static final LeaseTiming PRODUCTION =
      new LeaseTiming(
          Duration.ofSeconds(10),
          Duration.ofSeconds(3),
          Duration.ofSeconds(2),
          Duration.ofSeconds(2),
          Duration.ofSeconds(1));
}
