package org.clementinequay.core.rollout;

/**
 * Wald's sequential probability ratio test of a new version's rate of bad answers, with the null
 * hypothesis that it is as bad as the versions in service and the alternative that it is clearly
 * worse. It decides within about ten answers, as a roll-out of seconds requires. The confidence
 * sequence that {@link VersionCounts} uses is designed for roll-outs of minutes and needed more
 * than twenty answers where a third of them failed.
 */
final class SequentialRatioTest {
  /** Rate of bad answers below which no version is worse, however low the reference rate is. */
  private static final double MIN_ACCEPTED_RATE = 0.03;

  /** Factor on the measured rate of the versions in service, to allow for its sampling error. */
  private static final double REFERENCE_RATE_FACTOR = 1.5;

  /** Smallest excess over the accepted rate that the test must detect. */
  private static final double DETECTED_EXCESS = 0.2;

  /**
   * Upper bound of the measured rate, so that a high rate measured on few answers does not make a
   * bad version acceptable.
   */
  private static final double MAX_REFERENCE_RATE = 0.4;

  private SequentialRatioTest() {}

  /**
   * Returns whether the version is worse; false as long as it has no bad answer.
   *
   * @param alpha upper bound on the probability of true for a version that is not worse
   */
  static boolean isWorse(
      long bad, long answers, long referenceBad, long referenceAnswers, double alpha) {
    return bad > 0
        && logLikelihoodRatio(bad, answers, referenceBad, referenceAnswers) >= -Math.log(alpha);
  }

  /**
   * Returns whether the version is not clearly worse.
   *
   * @param beta upper bound on the probability of true for a version that is clearly worse
   */
  static boolean isSound(
      long bad, long answers, long referenceBad, long referenceAnswers, double beta) {
    return logLikelihoodRatio(bad, answers, referenceBad, referenceAnswers) <= Math.log(beta);
  }

  private static double logLikelihoodRatio(
      long bad, long answers, long referenceBad, long referenceAnswers) {
    double referenceRate = (referenceBad + 0.5) / (referenceAnswers + 1.0);
    double cappedReference = Math.min(referenceRate, MAX_REFERENCE_RATE);
    double acceptedRate = Math.max(MIN_ACCEPTED_RATE, REFERENCE_RATE_FACTOR * cappedReference);
    double worseRate = acceptedRate + DETECTED_EXCESS;
    return bad * Math.log(worseRate / acceptedRate)
        + (answers - bad) * Math.log((1 - worseRate) / (1 - acceptedRate));
  }
}
