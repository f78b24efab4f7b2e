package org.clementinequay.core.rollout;

/**
 * Robbins' mixture confidence sequence for a Bernoulli rate. The likelihood ratio against a rate q,
 * mixed over a Beta prior, is a martingale if q is the true rate; by Ville's inequality the
 * probability that it ever exceeds 1/alpha is at most alpha. The test may therefore be evaluated
 * after every observation without raising its error probability.
 */
final class BetaBinomialConfidenceSequence {
  /** Beta prior of the rate of bad answers; its mean is 0.1 and its weight 10 answers. */
  private static final double PRIOR_BAD = 1;

  private static final double PRIOR_GOOD = 9;

  /** Steps of the bisection that finds the upper bound; gives a precision of 1e-9. */
  private static final int BISECTION_STEPS = 30;

  private BetaBinomialConfidenceSequence() {}

  /** Returns the logarithm of the mixture likelihood ratio against a rate. */
  static double logLikelihoodRatio(long bad, long good, double rate) {
    return logMixture(bad, good) - logLikelihood(bad, good, rate);
  }

  /**
   * Returns an upper confidence bound of the true rate. The probability that the true rate is ever
   * above the bound, at any time in the sequence, is at most alpha.
   */
  static double upperBound(long bad, long good, double alpha) {
    double logMixtureValue = logMixture(bad, good);
    double low = bad + good == 0 ? 0 : bad / (double) (bad + good);
    double high = 1;
    for (int i = 0; i < BISECTION_STEPS; i++) {
      double middle = (low + high) / 2;
      if (logMixtureValue - logLikelihood(bad, good, middle) < -Math.log(alpha)) {
        low = middle;
      } else {
        high = middle;
      }
    }
    return high;
  }

  /**
   * Returns whether the candidate's rate of bad answers is significantly above the live version's.
   *
   * @param alpha upper bound on the probability that any of the evaluations over time is wrongly
   *     true
   */
  static boolean provedWorse(
      long candidateBad, long candidateGood, long liveBad, long liveGood, double alpha) {
    long candidateCount = candidateBad + candidateGood;
    if (candidateBad == 0 || candidateBad * (liveBad + liveGood) <= liveBad * candidateCount) {
      return false;
    }
    double liveUpper = upperBound(liveBad, liveGood, alpha / 2);
    // The likelihood ratio decreases as the rate increases towards the observed one. Testing
    // against an upper bound of the live rate can therefore only make the result true less often.
    return candidateBad > liveUpper * candidateCount
        && logLikelihoodRatio(candidateBad, candidateGood, liveUpper) >= -Math.log(alpha / 2);
  }

  private static double logMixture(long bad, long good) {
    return logBeta(bad + PRIOR_BAD, good + PRIOR_GOOD) - logBeta(PRIOR_BAD, PRIOR_GOOD);
  }

  private static double logLikelihood(long bad, long good, double rate) {
    double clampedRate = Math.min(1 - 1e-12, Math.max(1e-12, rate));
    return bad * Math.log(clampedRate) + good * Math.log1p(-clampedRate);
  }

  private static double logBeta(double a, double b) {
    return logGamma(a) + logGamma(b) - logGamma(a + b);
  }

  /** Stirling's series after shifting the argument to at least 10; the error is below 1e-10. */
  private static double logGamma(double x) {
    double shift = 0;
    double z = x;
    while (z < 10) {
      shift += Math.log(z);
      z += 1;
    }
    double inverseZ = 1 / z;
    double inverseSquare = inverseZ * inverseZ;
    double series = inverseZ * (1.0 / 12 - inverseSquare * (1.0 / 360 - inverseSquare / 1260));
    return (z - 0.5) * Math.log(z) - z + 0.5 * Math.log(2 * Math.PI) + series - shift;
  }
}
