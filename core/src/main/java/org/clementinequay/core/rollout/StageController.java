package org.clementinequay.core.rollout;

import org.clementinequay.core.config.ObjectiveWeights;

/**
 * Increases the share of new sessions of a version in stages. {@link
 * BetaBinomialConfidenceSequence} compares the version with the live one on the counts of the
 * current stage alone, because the load may have changed since earlier stages; the bound on false
 * stops is divided evenly among the stages. All decisions are pure functions of the state, the
 * counts and the time.
 */
public final class StageController {
  /**
   * Upper bound on the probability that the controller stops the roll-out of a version that is not
   * worse than the live one.
   */
  public static final double MAX_FALSE_STOP_PROBABILITY = 0.005;

  /**
   * Share of new sessions at each stage. There is no stage with a share of 1, because it would
   * leave no answers of the live version to compare with; after the last stage {@link LiveMonitor}
   * watches the new version.
   */
  static final double[] SHARES = {0.01, 0.05, 0.20, 0.50};

  /**
   * Ratings of the candidate that each stage requires if exposure has a third of the sum of the
   * weights.
   */
  private static final int[] REQUIRED_RATINGS = {100, 200, 400, 800};

  /**
   * Excess over the live version's rate of bad answers or errors that the candidate's counts must
   * rule out before the next stage. Without this condition, a version with 8% bad answers against
   * 5% went live.
   */
  private static final double[] EXCESS_MARGINS = {0.05, 0.03, 0.02, 0.015};

  /**
   * Standard errors by which the measured excess must be below the margin; the one-sided 90%
   * quantile.
   */
  private static final double MARGIN_SIGMAS = 1.28;

  /** Minimum duration of a stage, longer than the delay of most ratings, in milliseconds. */
  private static final long MIN_STAGE_MILLIS = 60_000;

  private final double ratingsFactor;

  /** Creates a controller; a larger weight of exposure raises the ratings that a stage requires. */
  public StageController(ObjectiveWeights weights) {
    double sum = weights.cost() + weights.latency() + weights.exposure();
    ratingsFactor = 0.5 + 1.5 * (sum > 0 ? weights.exposure() / sum : 1 / 3.0);
  }

  /**
   * Returns the share of new sessions that the version must get in a state, from 0 to 1; after the
   * last stage still the share of that stage.
   */
  public static double share(RolloutState state) {
    return state.status() == RolloutState.Status.STOPPED ? 0 : SHARES[state.stage()];
  }

  /**
   * Decides whether to stop the version, start the next stage, complete the roll-out or wait.
   *
   * @param candidate sum of the counts of the version on all hosts that can be reached
   * @param live the same for the live version
   * @param nowMillis wall-clock time in milliseconds
   */
  public StageDecision decide(
      RolloutState state, VersionCounts candidate, VersionCounts live, long nowMillis) {
    if (state.status() != RolloutState.Status.RUNNING) {
      return new StageDecision(state, false, "roll-out has ended");
    }
    VersionCounts candidateInStage = candidate.since(state.candidateAtStageStart());
    VersionCounts liveInStage = live.since(state.liveAtStageStart());
    if (candidateInStage.isProvedWorseThan(
        liveInStage, MAX_FALSE_STOP_PROBABILITY / SHARES.length)) {
      String reason = candidateInStage.summary() + "; live version " + liveInStage.summary();
      return new StageDecision(state.withStatus(RolloutState.Status.STOPPED), true, reason);
    }
    int requiredRatings = (int) Math.ceil(REQUIRED_RATINGS[state.stage()] * ratingsFactor);
    if (candidateInStage.rated() < requiredRatings
        || nowMillis - state.stageStartMillis() < MIN_STAGE_MILLIS) {
      return new StageDecision(
          state, false, candidateInStage.rated() + " of " + requiredRatings + " ratings");
    }
    if (!candidateInStage.rulesOutExcess(
        liveInStage, EXCESS_MARGINS[state.stage()], MARGIN_SIGMAS)) {
      return new StageDecision(state, false, "excess not ruled out: " + candidateInStage.summary());
    }
    if (state.stage() == SHARES.length - 1) {
      return new StageDecision(
          state.withStatus(RolloutState.Status.COMPLETED), true, "last stage passed");
    }
    RolloutState nextStage =
        new RolloutState(
            RolloutState.Status.RUNNING, state.stage() + 1, nowMillis, candidate, live);
    return new StageDecision(nextStage, true, "stage passed: " + candidateInStage.summary());
  }
}
