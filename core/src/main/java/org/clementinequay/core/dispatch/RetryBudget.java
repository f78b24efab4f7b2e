package org.clementinequay.core.dispatch;

/**
 * Token bucket that is filled by requests and emptied by retries, so that retries stay a fixed
 * share of the traffic. Without it an overload would multiply itself through retries.
 */
public final class RetryBudget {
  /** Retries allowed for each request, in the long run. */
  public static final double RETRIES_PER_REQUEST = 0.1;

  /** Retries allowed without traffic, so that a quiet host can retry at all. */
  public static final double MAX_BALANCE = 10;

  private double balance = MAX_BALANCE;

  /** Counts a request. */
  public synchronized void recordRequest() {
    balance = Math.min(MAX_BALANCE, balance + RETRIES_PER_REQUEST);
  }

  /** Takes one retry; returns false if the budget is exhausted. */
  public synchronized boolean tryRetry() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
