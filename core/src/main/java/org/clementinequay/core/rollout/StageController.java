package org.clementinequay.core.rollout;

import org.clementinequay.core.config.ObjectiveWeights;

/**
 * Raises the share of a version in stages. At each stage the version is compared with the live one
 * on the evidence of that stage alone, because the load may have changed since earlier stages, by
 * {@link BetaBinomialSequence}; the bound on false stops is divided evenly over the stages. All
 * decisions are pure functions of the state and the evidence.
 */
public final class StageController {
  /** Bound of the probability that a roll-out of a version that is no worse is stopped here. */
  public static final double FALSE_STOPS = 0.005;

  /**
   * Share of new sessions at each stage. There is no stage with the whole share, because it would
   * leave no live answers to compare with; after the last stage {@link LiveMonitor} takes over.
   */
  static final double[] SHARES = {0.01, 0.05, 0.20, 0.50};

  /** Ratings of the candidate that a stage needs if exposure has a third of the weights. */
  private static final int[] RATINGS = {100, 200, 400, 800};

  /**
   * Excess over the live version's rate of bad answers or errors that the candidate's evidence must
   * rule out before the next stage. Without it a version with 8% bad answers against 5% went live.
   */
  private static final double[] MARGINS = {0.05, 0.03, 0.02, 0.015};

  /** Standard errors by which the excess must stay below the margin; one-sided 90%. */
  private static final double MARGIN_SIGMAS = 1.28;

  /** Shortest time of a stage, longer than the delay of most ratings, in milliseconds. */
  private static final long SHORTEST_STAGE_MILLIS = 60_000;

  private final double ratingsFactor;

  /** Creates a controller; exposure weight makes the stages longer. */
  public StageController(ObjectiveWeights weights) {
    double sum = weights.cost() + weights.latency() + weights.exposure();
    ratingsFactor = 0.5 + 1.5 * (sum > 0 ? weights.exposure() / sum : 1 / 3.0);
  }

  /** Returns the share of new sessions that a state calls for. */
  public static double share(RolloutState state) {
    return state.status() == RolloutState.Status.STOPPED ? 0 : SHARES[state.stage()];
  }

  /**
   * Decides what to do now.
   *
   * @param candidate all evidence on the version, from every host that can be reached
   * @param live all evidence on the live version
   */
  public StageDecision decide(
      RolloutState state, VersionCounts candidate, VersionCounts live, long nowMillis) {
    if (state.status() != RolloutState.Status.RUNNING) {
      return new StageDecision(state, false, "roll-out has ended");
    }
    VersionCounts now = candidate.since(state.candidateBefore());
    VersionCounts reference = live.since(state.liveBefore());
    if (now.provedWorseThan(reference, FALSE_STOPS / SHARES.length)) {
      String reason = now.summary() + "; live version " + reference.summary();
      return new StageDecision(state.with(RolloutState.Status.STOPPED), true, reason);
    }
    int needed = (int) Math.ceil(RATINGS[state.stage()] * ratingsFactor);
    if (now.rated() < needed || nowMillis - state.stageStartMillis() < SHORTEST_STAGE_MILLIS) {
      return new StageDecision(state, false, now.rated() + " of " + needed + " ratings");
    }
    if (!now.ruledOutExcess(reference, MARGINS[state.stage()], MARGIN_SIGMAS)) {
      return new StageDecision(state, false, "excess not ruled out: " + now.summary());
    }
    if (state.stage() == SHARES.length - 1) {
      return new StageDecision(
          state.with(RolloutState.Status.COMPLETED), true, "last stage passed");
    }
    RolloutState raised =
        new RolloutState(
            RolloutState.Status.RUNNING, state.stage() + 1, nowMillis, candidate, live);
    return new StageDecision(raised, true, "stage passed: " + now.summary());
  }
}
