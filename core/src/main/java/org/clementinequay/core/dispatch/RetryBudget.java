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

  private final double retriesPerRequest;
  private final double maxBalance;
  private double balance;

  /** Creates a budget with the default share and balance. */
  public RetryBudget() {
    this(RETRIES_PER_REQUEST, MAX_BALANCE);
  }

  /**
   * Creates a budget.
   *
   * @param retriesPerRequest retries allowed for each request, in the long run
   * @param maxBalance retries allowed without traffic
   */
  public RetryBudget(double retriesPerRequest, double maxBalance) {
    this.retriesPerRequest = retriesPerRequest;
    this.maxBalance = maxBalance;
    this.balance = maxBalance;
  }

  /** Counts a request. */
  public synchronized void recordRequest() {
    balance = Math.min(maxBalance, balance + retriesPerRequest);
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
