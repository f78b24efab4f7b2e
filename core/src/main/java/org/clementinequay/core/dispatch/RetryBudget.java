package org.clementinequay.core.dispatch;

/**
 * Token bucket that is filled by requests and drained by retries, so that retries stay a fixed
 * share of the traffic. Without it, retries would amplify an overload. Thread-safe.
 */
public final class RetryBudget {
  /** Number of retries allowed per request, averaged over time. */
  public static final double RETRIES_PER_REQUEST = 0.1;

  /**
   * Capacity of the bucket, which is full at the start, so that a host with little traffic can
   * retry at all.
   */
  public static final double MAX_BALANCE = 10;

  private double balance = MAX_BALANCE;

  /** Adds the share of a retry that one request allows, up to the capacity. */
  public synchronized void recordRequest() {
    balance = Math.min(MAX_BALANCE, balance + RETRIES_PER_REQUEST);
  }

  /** Takes one retry from the budget; returns false and takes none if it is exhausted. */
  public synchronized boolean tryRetry() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
