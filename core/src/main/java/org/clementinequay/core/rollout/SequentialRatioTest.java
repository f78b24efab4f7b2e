package org.clementinequay.core.rollout;

/**
 * Wald's sequential probability ratio test of a new version's rate of bad answers: as bad as the
 * versions in service against clearly worse. It decides within some ten answers, which a roll-out
 * of seconds needs; the confidence sequence of {@link VersionCounts}, made for roll-outs of
 * minutes, took more than twenty answers of which a third failed.
 */
final class SequentialRatioTest {
  /** Rate of bad answers below which no version is called worse. */
  private static final double ACCEPTED_RATE = 0.03;

  /** Factor on the measured rate of the versions in service, which is only an estimate. */
  private static final double RATE_FACTOR = 1.5;

  /** Smallest excess over the accepted rate that must be found. */
  private static final double EXCESS = 0.2;

  /** Cap of the measured rate: one of few answers must not excuse a bad version. */
  private static final double MAX_REFERENCE_RATE = 0.4;

  private SequentialRatioTest() {}

  /**
   * Returns whether the version is worse.
   *
   * @param alpha bound of the probability that a version that is no worse is called so
   */
  static boolean worse(
      long bad, long answers, long referenceBad, long referenceAnswers, double alpha) {
    if (bad == 0) {
      return false;
    }
    double reference = (referenceBad + 0.5) / (referenceAnswers + 1.0);
    double capped = Math.min(reference, MAX_REFERENCE_RATE);
    double accepted = Math.max(ACCEPTED_RATE, RATE_FACTOR * capped);
    double worse = accepted + EXCESS;
    double evidence =
        bad * Math.log(worse / accepted) + (answers - bad) * Math.log((1 - worse) / (1 - accepted));
    return evidence >= -Math.log(alpha);
  }
}
