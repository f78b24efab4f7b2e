package org.clementinequay.core.stop;

import java.time.Duration;

/**
 * Times of a graceful stop, counted from the stop signal.
 *
 * @param acceptance time for which new connections are accepted
 * @param certainty time from which a request that is received is passed on only if it certainly
 *     ends in time
 * @param end time at which the requests in progress are ended
 * @param exit time at which the process ends; their responses are written until then
 */
public record StopSchedule(Duration acceptance, Duration certainty, Duration end, Duration exit) {
  /**
   * Longest acceptance. A load balancer that checks once a second and removes a host after two
   * failed checks sends connections for up to 2 s, and their requests arrive a little later.
   */
  private static final Duration MAX_ACCEPTANCE = Duration.ofMillis(2800);

  /** Largest share of the grace period in which new connections are accepted. */
  private static final double MAX_ACCEPTANCE_SHARE = 0.4;

  /**
   * Share of the acceptance after which certainty is required. A busy process notices the signal up
   * to a second late, and counts less time since it than the platform does.
   */
  private static final double CERTAINTY_SHARE = 0.7;

  /** Longest time between the end of the requests and the end of the grace period. */
  private static final Duration MAX_MARGIN = Duration.ofMillis(700);

  /** Largest share of the grace period that is left after the end of the requests. */
  private static final double MAX_MARGIN_SHARE = 0.125;

  /** Share of that margin in which the last responses are written. */
  private static final double LAST_RESPONSES_SHARE = 0.3;

  /**
   * Returns the schedule for a grace period, after which the process is killed.
   *
   * @throws IllegalArgumentException if the grace period is negative
   */
  public static StopSchedule forGracePeriod(Duration grace) {
    if (grace.isNegative()) {
      throw new IllegalArgumentException("negative grace period: " + grace);
    }
    Duration acceptance = shorter(MAX_ACCEPTANCE, share(grace, MAX_ACCEPTANCE_SHARE));
    Duration margin = shorter(MAX_MARGIN, share(grace, MAX_MARGIN_SHARE));
    Duration end = grace.minus(margin);
    return new StopSchedule(
        acceptance,
        share(acceptance, CERTAINTY_SHARE),
        end,
        end.plus(share(margin, LAST_RESPONSES_SHARE)));
  }

  private static Duration share(Duration whole, double share) {
    return Duration.ofNanos(Math.round(whole.toNanos() * share));
  }

  private static Duration shorter(Duration a, Duration b) {
    return a.compareTo(b) <= 0 ? a : b;
  }
}
