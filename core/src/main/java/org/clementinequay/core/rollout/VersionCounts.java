package org.clementinequay.core.rollout;

/**
 * Evidence on a version, counted since its roll-out began.
 *
 * @param answers attempts that ended, with or without an answer
 * @param errors attempts that failed on the upstream's side
 * @param rated ratings received
 * @param bad ratings below the accepted score
 */
public record VersionCounts(long answers, long errors, long rated, long bad) {
  /** No evidence. */
  public static final VersionCounts NONE = new VersionCounts(0, 0, 0, 0);

  /** Returns the sum of two counts. */
  public VersionCounts plus(VersionCounts other) {
    return new VersionCounts(
        answers + other.answers, errors + other.errors, rated + other.rated, bad + other.bad);
  }

  /** Returns what was counted since an earlier reading, never negative. */
  public VersionCounts since(VersionCounts earlier) {
    // The sum over hosts shrinks when a host and its counters are lost.
    long newAnswers = Math.max(0, answers - earlier.answers);
    long newRated = Math.max(0, rated - earlier.rated);
    return new VersionCounts(
        newAnswers,
        Math.min(newAnswers, Math.max(0, errors - earlier.errors)),
        newRated,
        Math.min(newRated, Math.max(0, bad - earlier.bad)));
  }

  /** Returns whether this version is proved worse than the live one, by ratings or by errors. */
  boolean provedWorseThan(VersionCounts live, double alpha) {
    return BetaBinomialSequence.worse(bad, rated - bad, live.bad, live.rated - live.bad, alpha / 2)
        || BetaBinomialSequence.worse(
            errors, answers - errors, live.errors, live.answers - live.errors, alpha / 2);
  }

  /** Returns whether both rates are, with confidence, less than the margin above the live ones. */
  boolean ruledOutExcess(VersionCounts live, double margin, double sigmas) {
    return excess(bad, rated, live.bad, live.rated, sigmas) <= margin
        && excess(errors, answers, live.errors, live.answers, sigmas) <= margin;
  }

  private static double excess(long hits, long count, long liveHits, long liveCount, double z) {
    double rate = (hits + 0.5) / (count + 1.0);
    double liveRate = (liveHits + 0.5) / (liveCount + 1.0);
    double variance =
        rate * (1 - rate) / (count + 1.0) + liveRate * (1 - liveRate) / (liveCount + 1.0);
    return rate - liveRate + z * Math.sqrt(variance);
  }

  String summary() {
    return bad + "/" + rated + " rated bad, " + errors + "/" + answers + " failed";
  }
}
