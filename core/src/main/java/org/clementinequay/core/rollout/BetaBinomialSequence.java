package org.clementinequay.core.rollout;

/**
 * Robbins' mixture confidence sequence for a Bernoulli rate: the likelihood ratio against a rate q,
 * mixed over a Beta prior, is a martingale if q is the true rate, so by Ville's inequality it ever
 * exceeds 1/alpha with probability at most alpha. It may be looked at after every observation.
 */
final class BetaBinomialSequence {
  /** Beta prior of the rate of bad answers; its mean is 1/10, its weight 10 answers. */
  private static final double PRIOR_BAD = 1;

  private static final double PRIOR_GOOD = 9;

  /** Steps of the bisection; the bound is exact to 1e-9. */
  private static final int BISECTIONS = 30;

  private BetaBinomialSequence() {}

  /** Returns the logarithm of the mixture likelihood ratio against the rate. */
  static double logRatio(long bad, long good, double rate) {
    return logMixture(bad, good) - logLikelihood(bad, good, rate);
  }

  /** Returns the upper bound that the true rate ever exceeds with probability at most alpha. */
  static double upper(long bad, long good, double alpha) {
    double mixture = logMixture(bad, good);
    double low = bad + good == 0 ? 0 : bad / (double) (bad + good);
    double high = 1;
    for (int i = 0; i < BISECTIONS; i++) {
      double middle = (low + high) / 2;
      if (mixture - logLikelihood(bad, good, middle) < -Math.log(alpha)) {
        low = middle;
      } else {
        high = middle;
      }
    }
    return high;
  }

  /**
   * Returns whether the candidate's rate is proved to be above the live version's.
   *
   * @param alpha bound of the probability that this is ever wrong, over all looks together
   */
  static boolean worse(
      long candidateBad, long candidateGood, long liveBad, long liveGood, double alpha) {
    long count = candidateBad + candidateGood;
    if (candidateBad == 0 || candidateBad * (liveBad + liveGood) <= liveBad * count) {
      return false;
    }
    double liveUpper = upper(liveBad, liveGood, alpha / 2);
    // The ratio falls as the rate rises towards the observed one, so a bound above the live rate
    // can only make the test less likely to stop.
    return candidateBad > liveUpper * count
        && logRatio(candidateBad, candidateGood, liveUpper) >= -Math.log(alpha / 2);
  }

  private static double logMixture(long bad, long good) {
    return logBeta(bad + PRIOR_BAD, good + PRIOR_GOOD) - logBeta(PRIOR_BAD, PRIOR_GOOD);
  }

  private static double logLikelihood(long bad, long good, double rate) {
    double q = Math.min(1 - 1e-12, Math.max(1e-12, rate));
    return bad * Math.log(q) + good * Math.log1p(-q);
  }

  private static double logBeta(double a, double b) {
    return logGamma(a) + logGamma(b) - logGamma(a + b);
  }

  /** Stirling's series after shifting the argument above 10; error below 1e-10. */
  private static double logGamma(double x) {
    double shift = 0;
    double z = x;
    while (z < 10) {
      shift += Math.log(z);
      z += 1;
    }
    double inverse = 1 / z;
    double square = inverse * inverse;
    double series = inverse * (1.0 / 12 - square * (1.0 / 360 - square / 1260));
    return (z - 0.5) * Math.log(z) - z + 0.5 * Math.log(2 * Math.PI) + series - shift;
  }
}
