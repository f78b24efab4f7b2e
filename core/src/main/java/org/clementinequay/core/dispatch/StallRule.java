package org.clementinequay.core.dispatch;

import org.clementinequay.core.forward.Route;

/**
 * Decides when an attempt that makes no progress is given up for another upstream. Answers the load
 * pattern of a cut failure domain or a dark engine that holds many streams: their connections stay
 * open and silent, and a stream that moves within its objective for pauses is still on time. An
 * engine from which this host still hears on other attempts is busy and not stalled.
 */
public final class StallRule {
  /** Part of the objective for the first event after which a silent engine is given up. */
  static final double FIRST_EVENT_PART = 0.35;

  /** The same where the estimate says that the engine needs longer. */
  static final double LATEST_FIRST_EVENT_PART = 0.8;

  /** Factor on the estimated time to the first event, which is off by a factor of two at times. */
  static final double ESTIMATE_FACTOR = 2;

  /** Part of the objective for pauses after which a stream from a silent engine moves. */
  static final double PAUSE_PART = 0.55;

  /** Part of the objective for pauses for which the engine must have been silent to all. */
  static final double SILENCE_PART = 0.45;

  /**
   * Part of the objective for pauses where this is the host's only stream there. An engine that
   * reads long prompts pauses each of its streams for half a second, but not all at once.
   */
  static final double ONLY_STREAM_PART = 0.95;

  /** Times the objective after which an idempotent call is repeated elsewhere. */
  static final double CALL_OBJECTIVES = 2;

  /** Shortest time for an idempotent call, in milliseconds, where objectives are very short. */
  static final long SHORTEST_CALL_MILLIS = 250;

  /** Objectives of streams that state none, in milliseconds. */
  private static final long DEFAULT_FIRST_EVENT_MILLIS = 4000;

  private static final long DEFAULT_PAUSE_MILLIS = 1000;

  private StallRule() {}

  /**
   * Progress of one attempt.
   *
   * @param started whether events were received
   * @param expectedFirstMillis estimated time to the first event when the attempt was sent
   * @param othersThere whether this host has other attempts at the upstream
   * @param silenceMillis time since the attempt was sent or received its last event
   * @param upstreamSilenceMillis time since this host heard anything from the upstream, but not
   *     more than the age of the attempt
   */
  public record Progress(
      boolean started,
      double expectedFirstMillis,
      boolean othersThere,
      long silenceMillis,
      long upstreamSilenceMillis) {}

  /** Returns whether an attempt of a route's request is given up. */
  public static boolean stalled(Route route, Progress progress) {
    if (!route.kind().retryable()) {
      return false;
    }
    if (!route.kind().streaming()) {
      return progress.silenceMillis()
          >= Math.max(SHORTEST_CALL_MILLIS, CALL_OBJECTIVES * route.latencyObjectiveMillis());
    }
    return progress.started() ? pauses(route, progress) : lacksFirstEvent(route, progress);
  }

  private static boolean lacksFirstEvent(Route route, Progress progress) {
    long objective =
        route.latencyObjectiveMillis() > 0
            ? route.latencyObjectiveMillis()
            : DEFAULT_FIRST_EVENT_MILLIS;
    double estimate = ESTIMATE_FACTOR * progress.expectedFirstMillis();
    double bound =
        Math.min(
            LATEST_FIRST_EVENT_PART * objective, Math.max(FIRST_EVENT_PART * objective, estimate));
    return Math.min(progress.silenceMillis(), progress.upstreamSilenceMillis()) >= bound;
  }

  private static boolean pauses(Route route, Progress progress) {
    long objective =
        route.eventGapObjectiveMillis() > 0
            ? route.eventGapObjectiveMillis()
            : DEFAULT_PAUSE_MILLIS;
    double part = progress.othersThere() ? PAUSE_PART : ONLY_STREAM_PART;
    return progress.silenceMillis() >= part * objective
        && progress.upstreamSilenceMillis() >= SILENCE_PART * objective;
  }
}
