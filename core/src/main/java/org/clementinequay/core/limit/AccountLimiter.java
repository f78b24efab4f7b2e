package org.clementinequay.core.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.config.AccountLimits;

/**
 * Limits the rate and concurrency of each client account over all entry hosts: each host enforces
 * its share of every limit with a token bucket and a count of requests in progress. Shares start in
 * proportion to host size and are moved to the hosts with demand ({@link ShareLedger}); a host that
 * is cut off keeps its last share. The rates of all hosts add up to at most the limit while they
 * agree on the members, and to at most twice the limit when hosts that are still serving are
 * removed from the members. Each host may exceed its share of a burst or of the concurrency by less
 * than one request, because a bucket of less than one token would never admit anything. Safe for
 * concurrent use.
 */
public final class AccountLimiter {
  /** Retry delay for a refusal by concurrency, which lasts until another request ends. */
  private static final Duration CONCURRENCY_RETRY_AFTER = Duration.ofMillis(200);

  /** Maximum number of ledgers kept for an account, one for each set of members. */
  private static final int MAX_LEDGERS = 32;

  /** Longest retry delay that is returned, in seconds. */
  private static final double MAX_RETRY_SECONDS = 60;

  /** Time constant of the exponential average of the demand, in nanoseconds: 3 seconds. */
  private static final double DEMAND_TIME_CONSTANT_NANOS = 3e9;

  private final Incarnation self;
  private final Map<String, Usage> usages = new ConcurrentHashMap<>();
  private final Map<Incarnation, Long> sequences = new HashMap<>();
  private volatile Members members;
  private long sequence;
  private long rebalancedNanos;

  /**
   * Creates the limiter of one entry host, which has the whole limit until {@link #setMembers} adds
   * peers.
   */
  public AccountLimiter(Incarnation self) {
    this.self = self;
    this.members = Members.of(Map.of(self, 1.0));
  }

  /**
   * Sets the entry hosts among which the limits are divided. Each set that is new starts with
   * shares in proportion to host size. A host that cannot be reached must remain a member until the
   * platform's host list removes it, so that its share is not assigned twice.
   *
   * @param weights relative sizes of this host and of every host that may be serving
   */
  public synchronized void setMembers(Map<Incarnation, Double> weights) {
    Members updated = Members.of(weights);
    if (updated.epoch != members.epoch) {
      members = updated;
    }
  }

  /**
   * Admits or refuses a request of an account. The caller must call {@link #release} once for each
   * admitted request.
   *
   * @param limits the account's limits over all entry hosts
   * @param nowNanos monotonic time
   */
  public Admission tryAcquire(String account, AccountLimits limits, long nowNanos) {
    Usage usage = usages.computeIfAbsent(account, name -> new Usage());
    synchronized (usage) {
      return usage.tryAcquire(limits, usage.ledger(self, members).ownShare(), nowNanos);
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
   * Grants spare shares to peers that need more, and returns the report to broadcast. To be called
   * at a fixed interval of about one second.
   */
  public synchronized LimitReport rebalance(long nowNanos) {
    rebalancedNanos = nowNanos;
    Map<String, LimitReport.AccountUsage> accounts = new TreeMap<>();
    usages.forEach(
        (account, usage) -> {
          synchronized (usage) {
            ShareLedger ledger = usage.ledger(self, members);
            double demand = usage.demand(nowNanos);
            if (usage.limit > 0) {
              ledger.grantSpareShare(demand, usage.limit, nowNanos);
            }
            accounts.put(
                account,
                new LimitReport.AccountUsage(
                    demand, usage.limit, ledger.ownShare(), ledger.ownGrants()));
          }
        });
    return new LimitReport(self, ++sequence, members.epoch, accounts);
  }

  /**
   * Merges a peer's report. A report on another set of members or one that is not newer than the
   * last is ignored. The time of the last {@link #rebalance} counts as the time of receipt.
   */
  public synchronized void merge(LimitReport report) {
    if (report.epoch() != members.epoch
        || report.origin().equals(self)
        || sequences.getOrDefault(report.origin(), 0L) >= report.sequence()) {
      return;
    }
    sequences.put(report.origin(), report.sequence());
    report
        .accounts()
        .forEach(
            (account, accountUsage) -> {
              Usage usage = usages.computeIfAbsent(account, name -> new Usage());
              synchronized (usage) {
                usage.ledger(self, members).merge(report.origin(), accountUsage, rebalancedNanos);
                usage.limit = usage.limit > 0 ? usage.limit : accountUsage.limit();
              }
            });
  }

  /** Returns this host's share of the account's limits, from 0 to 1. */
  public double share(String account) {
    Usage usage = usages.computeIfAbsent(account, name -> new Usage());
    synchronized (usage) {
      return usage.ledger(self, members).ownShare();
    }
  }

  /** Base shares of the hosts that share the limits; the epoch is a hash of hosts and weights. */
  private record Members(long epoch, Map<Incarnation, Double> baseShares) {
    private static Members of(Map<Incarnation, Double> weights) {
      Map<Incarnation, Double> sorted = new TreeMap<>(weights);
      double total = sorted.values().stream().mapToDouble(Double::doubleValue).sum();
      long hash = 17;
      for (Map.Entry<Incarnation, Double> member : sorted.entrySet()) {
        hash = hash * 1_000_003 + member.getKey().id().hashCode();
        hash = hash * 1_000_003 + Double.hashCode(member.getValue());
      }
      sorted.replaceAll((host, weight) -> weight / total);
      return new Members(hash, sorted);
    }
  }

  /** Usage of one account on this host. */
  private static final class Usage {
    private int inProgress;
    private double tokens = Double.MAX_VALUE;
    private long refilledNanos;
    private double limit;
    private double demand;
    private long demandUpdatedNanos;
    private boolean initialized;

    /**
     * Ledgers by epoch. Those of former sets of members are kept, because a host that was removed
     * and returns still holds the grants of the former set; with a new ledger they would be granted
     * twice.
     */
    private final Map<Long, ShareLedger> ledgers =
        new LinkedHashMap<>() {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, ShareLedger> eldest) {
            return size() > MAX_LEDGERS;
          }
        };

    private ShareLedger ledger(Incarnation self, Members members) {
      return ledgers.computeIfAbsent(
          members.epoch, epoch -> new ShareLedger(self, members.baseShares));
    }

    /** Sets the times at the first use; 0 would be wrong, as a monotonic clock may be negative. */
    private void initializeTimes(long nowNanos) {
      if (!initialized) {
        initialized = true;
        refilledNanos = nowNanos;
        demandUpdatedNanos = nowNanos;
      }
    }

    private double demand(long nowNanos) {
      initializeTimes(nowNanos);
      long elapsed = Math.max(0, nowNanos - demandUpdatedNanos);
      demand *= Math.exp(-elapsed / DEMAND_TIME_CONSTANT_NANOS);
      demandUpdatedNanos = Math.max(demandUpdatedNanos, nowNanos);
      return demand;
    }

    private Admission tryAcquire(AccountLimits limits, double share, long nowNanos) {
      limit = limits.requestsPerSecond();
      demand = demand(nowNanos) + 1e9 / DEMAND_TIME_CONSTANT_NANOS;
      double rate = limit * share;
      double bucketCapacity = Math.max(1, limits.burst() * share);
      long elapsed = Math.max(0, nowNanos - refilledNanos);
      tokens = Math.min(bucketCapacity, tokens + elapsed / 1e9 * rate);
      refilledNanos = Math.max(refilledNanos, nowNanos);
      if (inProgress >= Math.max(1, Math.floor(limits.concurrent() * share))) {
        return Admission.refused(Admission.Cause.CONCURRENCY, CONCURRENCY_RETRY_AFTER);
      }
      if (tokens < 1) {
        double refillSeconds = rate > 0 ? (1 - tokens) / rate : MAX_RETRY_SECONDS;
        double retrySeconds = Math.min(MAX_RETRY_SECONDS, refillSeconds);
        return Admission.refused(
            Admission.Cause.RATE, Duration.ofMillis((long) Math.ceil(retrySeconds * 1000)));
      }
      tokens -= 1;
      inProgress++;
      return Admission.ADMITTED;
    }
  }
}
