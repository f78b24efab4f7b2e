package org.clementinequay.core.rollout;

/**
 * Counts of a version since its roll-out began.
 *
 * @param answers attempts that have ended, with an answer or without one
 * @param errors attempts that failed because of the upstream
 * @param rated ratings received
 * @param bad ratings below the accepted score
 */
public record VersionCounts(long answers, long errors, long rated, long bad) {
  /** All counts are zero. */
  public static final VersionCounts NONE = new VersionCounts(0, 0, 0, 0);

  /** Returns the sum of this and other counts, for example of another host. */
  public VersionCounts plus(VersionCounts other) {
    return new VersionCounts(
        answers + other.answers, errors + other.errors, rated + other.rated, bad + other.bad);
  }

  /** Returns the increase since earlier counts; no value is negative. */
  public VersionCounts since(VersionCounts earlier) {
    // A sum over hosts decreases when a host is lost with its counters.
    long newAnswers = Math.max(0, answers - earlier.answers);
    long newRated = Math.max(0, rated - earlier.rated);
    return new VersionCounts(
        newAnswers,
        Math.min(newAnswers, Math.max(0, errors - earlier.errors)),
        newRated,
        Math.min(newRated, Math.max(0, bad - earlier.bad)));
  }

  /**
   * Returns whether this version is significantly worse than the live one, by ratings or by errors.
   *
   * @param alpha upper bound on the probability that any evaluation over time is wrongly true
   */
  boolean isProvedWorseThan(VersionCounts live, double alpha) {
    return BetaBinomialConfidenceSequence.provedWorse(
            bad, rated - bad, live.bad, live.rated - live.bad, alpha / 2)
        || BetaBinomialConfidenceSequence.provedWorse(
            errors, answers - errors, live.errors, live.answers - live.errors, alpha / 2);
  }

  /**
   * Returns whether the rates of bad ratings and of errors exceed the live version's by at most the
   * margin, also after the given number of standard errors is added.
   */
  boolean rulesOutExcess(VersionCounts live, double margin, double sigmas) {
    return excessUpperBound(bad, rated, live.bad, live.rated, sigmas) <= margin
        && excessUpperBound(errors, answers, live.errors, live.answers, sigmas) <= margin;
  }

  private static double excessUpperBound(
      long events, long count, long liveEvents, long liveCount, double sigmas) {
    double rate = (events + 0.5) / (count + 1.0);
    double liveRate = (liveEvents + 0.5) / (liveCount + 1.0);
    double variance =
        rate * (1 - rate) / (count + 1.0) + liveRate * (1 - liveRate) / (liveCount + 1.0);
    return rate - liveRate + sigmas * Math.sqrt(variance);
  }

  String summary() {
    return bad + "/" + rated + " rated bad, " + errors + "/" + answers + " failed";
  }
}
