package org.clementinequay.core.rollout;

/**
 * Detects that a live version has turned bad, by an e-detector of the CUSUM kind: a likelihood
 * ratio against the reference rate that restarts whenever it falls below one. Without a change the
 * mean number of ratings before a false alarm is at least {@link #MEAN_RATINGS_TO_FALSE_ALARM}.
 * After an alarm the operator's previous version takes over. Safe for concurrent use.
 */
public final class LiveMonitor {
  /** Mean number of ratings before a false alarm; at 4 ratings a second about three days. */
  public static final double MEAN_RATINGS_TO_FALSE_ALARM = 1e6;

  /** Rise of the rate of bad answers that the detector is tuned to. */
  private static final double RISE = 0.10;

  private final double logIfBad;
  private final double logIfGood;
  private double logEvidence;

  /**
   * Creates a monitor.
   *
   * @param acceptedBadRate largest rate of bad ratings that is taken as normal, from 0 to 1
   */
  public LiveMonitor(double acceptedBadRate) {
    double normal = Math.min(0.89, Math.max(0.001, acceptedBadRate));
    double risen = normal + RISE;
    logIfBad = Math.log(risen / normal);
    logIfGood = Math.log((1 - risen) / (1 - normal));
  }

  /** Takes up one rating of the live version; returns whether the version has turned bad. */
  public synchronized boolean observe(boolean bad) {
    logEvidence = Math.max(0, logEvidence) + (bad ? logIfBad : logIfGood);
    return turnedBad();
  }

  /** Returns whether the version has turned bad. */
  public synchronized boolean turnedBad() {
    return logEvidence >= Math.log(MEAN_RATINGS_TO_FALSE_ALARM);
  }
}
