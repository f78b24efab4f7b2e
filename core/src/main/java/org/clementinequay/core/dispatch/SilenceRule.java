package org.clementinequay.core.dispatch;

import org.clementinequay.core.forward.Route;

/**
 * Decides whether a stream that {@link StallRule} takes for stalled moves to another engine.
 *
 * <p>Load: many hosts share few engines, so that a host has one request or none on an engine, and
 * the queues of all engines grow at once. The silence of one request then says nothing about its
 * engine. A request that moves is queued and read again elsewhere, which slows down all others, so
 * that more of them move: a metastable failure (Bronson et al., HotOS 2021). An engine that accepts
 * connections is busy, and its request moves only if another one usually answers within the
 * objective, or much sooner, as a hedged request waits for a high percentile (Dean and Barroso, The
 * Tail at Scale, 2013).
 */
public final class SilenceRule {
  /**
   * Multiple of the usual time before which no busy engine is given up, although another one would
   * answer in time; fewer than one in ten attempts takes longer.
   */
  static final double LEAST_USUAL_FACTOR = 1.2;

  /** Multiple of the usual time to the first event after which a busy engine is given up. */
  static final double USUAL_FACTOR = 3;

  /** Bounds on the patience with a busy engine, as multiples of the first-event objective. */
  static final double MIN_OBJECTIVES = 0.8;

  static final double MAX_OBJECTIVES = 2;

  /** Multiple of the gap objective after which a begun stream leaves a busy engine. */
  static final double GAP_OBJECTIVES = 2;

  private SilenceRule() {}

  /** What is known of an engine since it fell silent. */
  public enum Evidence {
    /** Nothing yet; a probe answers within moments. */
    NONE {
      @Override
      boolean confirms(Route route, Silence silence) {
        return ACCEPTS_CONNECTIONS.confirms(route, silence);
      }
    },
    /** A process accepts connections at its address. */
    ACCEPTS_CONNECTIONS {
      @Override
      boolean confirms(Route route, Silence silence) {
        return silence.millis() >= patienceMillis(route, silence);
      }
    },
    /** Nothing accepts connections at its address. */
    UNREACHABLE {
      @Override
      boolean confirms(Route route, Silence silence) {
        return true;
      }
    };

    abstract boolean confirms(Route route, Silence silence);
  }

  /**
   * Silence of one attempt.
   *
   * @param firstEventReceived whether the first event was received
   * @param millis time since the attempt was sent or received its last data
   * @param usualFirstEventMillis high quantile of the times to the first event that other attempts
   *     needed recently; 0 if unknown
   */
  public record Silence(boolean firstEventReceived, long millis, double usualFirstEventMillis) {}

  /** Returns whether the attempt moves to another engine. */
  public static boolean moves(Route route, Silence silence, Evidence evidence) {
    return evidence.confirms(route, silence);
  }

  private static double patienceMillis(Route route, Silence silence) {
    if (silence.firstEventReceived()) {
      return GAP_OBJECTIVES * route.eventGapObjectiveMillis();
    }
    double objective = route.latencyObjectiveMillis();
    double usual = silence.usualFirstEventMillis();
    double busy =
        Math.min(
            MAX_OBJECTIVES * objective, Math.max(MIN_OBJECTIVES * objective, USUAL_FACTOR * usual));
    // The last moment from which another engine usually answers within the objective.
    double useful = Math.max(LEAST_USUAL_FACTOR * usual, objective - usual);
    return usual > 0 && useful < MIN_OBJECTIVES * objective ? useful : busy;
  }
}
