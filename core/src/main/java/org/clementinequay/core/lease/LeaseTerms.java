package org.clementinequay.core.lease;

import java.time.Duration;

/**
 * Times of a lease.
 *
 * @param duration validity after a renewal
 * @param renewEvery time between two renewals
 * @param takeOverMargin time that a candidate waits beyond the duration, for clocks whose rates
 *     differ
 * @param otherCandidatesDelay time that candidates other than the preferred one wait in addition
 * @param orderMargin validity that must remain when an order is sent
 */
public record LeaseTerms(
    Duration duration,
    Duration renewEvery,
    Duration takeOverMargin,
    Duration otherCandidatesDelay,
    Duration orderMargin) {

  /**
   * The times of a running deployment. Three renewals fit into a validity, so that two failed calls
   * do not end it; the take-over margin tolerates clock rates that differ by a fifth.
   */
  public static final LeaseTerms PRODUCTION =
      new LeaseTerms(
          Duration.ofSeconds(10),
          Duration.ofSeconds(3),
          Duration.ofSeconds(2),
          Duration.ofSeconds(2),
          Duration.ofSeconds(1));
}
