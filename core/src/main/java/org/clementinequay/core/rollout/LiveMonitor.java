package org.clementinequay.core.rollout;

/**
 * Detects an increase in the rate of bad answers of a live version, with a CUSUM e-detector: a
 * likelihood ratio against the normal rate that is reset to one whenever it falls below one.
 * Without a change of the rate, the mean number of ratings before a false alarm is at least {@link
 * #MEAN_RATINGS_TO_FALSE_ALARM}. After an alarm the operator's previous version takes over. Safe
 * for concurrent use.
 */
public final class LiveMonitor {
  /**
   * Lower bound of the mean number of ratings before a false alarm; about three days at 4 ratings a
   * second.
   */
  public static final double MEAN_RATINGS_TO_FALSE_ALARM = 1e6;

  /** Increase in the rate of bad answers that the detector is tuned to. */
  private static final double DETECTED_INCREASE = 0.10;

  private final double logRatioIfBad;
  private final double logRatioIfGood;
  private double logLikelihoodRatio;

  /**
   * Creates a monitor.
   *
   * @param acceptedBadRate largest rate of bad ratings that is regarded as normal, from 0 to 1
   */
  public LiveMonitor(double acceptedBadRate) {
    double normalRate = Math.min(0.89, Math.max(0.001, acceptedBadRate));
    double increasedRate = normalRate + DETECTED_INCREASE;
    logRatioIfBad = Math.log(increasedRate / normalRate);
    logRatioIfGood = Math.log((1 - increasedRate) / (1 - normalRate));
  }

  /** Processes one rating of the live version and returns the result of {@link #turnedBad}. */
  public synchronized boolean observe(boolean bad) {
    logLikelihoodRatio = Math.max(0, logLikelihoodRatio) + (bad ? logRatioIfBad : logRatioIfGood);
    return turnedBad();
  }

  /** Returns whether the evidence of an increased rate has reached the threshold of an alarm. */
  public synchronized boolean turnedBad() {
    return logLikelihoodRatio >= Math.log(MEAN_RATINGS_TO_FALSE_ALARM);
  }
}
