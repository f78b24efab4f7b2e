package org.clementinequay.core.dispatch;

import org.clementinequay.core.forward.Route;

/**
 * Decides when an attempt that makes no progress is given up and moved to another upstream. When a
 * failure domain is cut off or an engine with many streams stops responding, the connections stay
 * open without data; a stream that moves before its objective for gaps between events has passed is
 * still on time. An engine that still sends data on other attempts of this host is busy, not
 * stalled.
 */
public final class StallRule {
  /** Fraction of the first-event objective after which a silent engine is given up. */
  static final double FIRST_EVENT_FRACTION = 0.35;

  /** Upper bound of that fraction if the estimate shows that the engine needs longer. */
  static final double MAX_FIRST_EVENT_FRACTION = 0.8;

  /** Multiple of the estimated time to the first event; estimates can be off by a factor of two. */
  static final double ESTIMATE_FACTOR = 2;

  /** Fraction of the gap objective after which a stream of a silent engine is moved. */
  static final double GAP_FRACTION = 0.55;

  /**
   * Fraction of the gap objective for which the engine must have sent nothing on any attempt of
   * this host.
   */
  static final double UPSTREAM_SILENCE_FRACTION = 0.45;

  /**
   * Fraction of the gap objective after which a stream is moved if it is this host's only attempt
   * on the engine. An engine that reads long prompts pauses each of its streams for half a second,
   * but not all at the same time.
   */
  static final double ONLY_ATTEMPT_GAP_FRACTION = 0.95;

  /** Multiple of the objective after which an idempotent call is repeated on another upstream. */
  static final double CALL_OBJECTIVE_FACTOR = 2;

  /** Minimum time before an idempotent call is repeated, in milliseconds, for short objectives. */
  static final long MIN_CALL_MILLIS = 250;

  /** First-event objective of streams that state none, in milliseconds. */
  private static final long DEFAULT_FIRST_EVENT_MILLIS = 4000;

  /** Gap objective of streams that state none, in milliseconds. */
  private static final long DEFAULT_GAP_MILLIS = 1000;

  private StallRule() {}

  /**
   * Progress of one attempt.
   *
   * @param firstEventReceived whether the first event was received
   * @param expectedFirstEventMillis time to the first event as estimated when the attempt was sent
   * @param hasOtherAttempts whether this host has other attempts on the upstream
   * @param silenceMillis time since the attempt was sent or received its last data
   * @param upstreamSilenceMillis time since this host received any data from the upstream, but at
   *     most the age of the attempt
   */
  public record Progress(
      boolean firstEventReceived,
      double expectedFirstEventMillis,
      boolean hasOtherAttempts,
      long silenceMillis,
      long upstreamSilenceMillis) {}

  /** Returns whether to give up an attempt; always false for a request that must not run twice. */
  public static boolean isStalled(Route route, Progress progress) {
    if (!route.kind().retryable()) {
      return false;
    }
    if (!route.kind().streaming()) {
      return progress.silenceMillis()
          >= Math.max(MIN_CALL_MILLIS, CALL_OBJECTIVE_FACTOR * route.latencyObjectiveMillis());
    }
    return progress.firstEventReceived()
        ? exceedsGap(route, progress)
        : exceedsFirstEventTime(route, progress);
  }

  private static boolean exceedsFirstEventTime(Route route, Progress progress) {
    long objective =
        route.latencyObjectiveMillis() > 0
            ? route.latencyObjectiveMillis()
            : DEFAULT_FIRST_EVENT_MILLIS;
    double estimate = ESTIMATE_FACTOR * progress.expectedFirstEventMillis();
    double bound =
        Math.min(
            MAX_FIRST_EVENT_FRACTION * objective,
            Math.max(FIRST_EVENT_FRACTION * objective, estimate));
    return Math.min(progress.silenceMillis(), progress.upstreamSilenceMillis()) >= bound;
  }

  private static boolean exceedsGap(Route route, Progress progress) {
    long objective =
        route.eventGapObjectiveMillis() > 0 ? route.eventGapObjectiveMillis() : DEFAULT_GAP_MILLIS;
    double fraction = progress.hasOtherAttempts() ? GAP_FRACTION : ONLY_ATTEMPT_GAP_FRACTION;
    return progress.silenceMillis() >= fraction * objective
        && progress.upstreamSilenceMillis() >= UPSTREAM_SILENCE_FRACTION * objective;
  }
}
