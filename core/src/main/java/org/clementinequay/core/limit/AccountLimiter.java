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
 * Limits each client account's rate and concurrency over all entry hosts: this host applies its
 * share of each limit with a token bucket and a count of requests in progress. The shares start by
 * host size and move to where the demand is ({@link ShareLedger}); a host that is cut off keeps its
 * last share. The rates of all hosts add up to at most the limit while they agree on the members,
 * and to at most twice the limit when hosts that are still serving are dropped from the members.
 * Every host may exceed its part of a burst or of the concurrency by less than one request, because
 * a smaller bucket would never admit anything. Safe for concurrent use.
 */
public final class AccountLimiter {
  /** Retry hint where only the end of another request can help. */
  private static final Duration CONCURRENCY_RETRY = Duration.ofMillis(200);

  /** Sets of members whose ledgers are kept. */
  private static final int KEPT_LEDGERS = 32;

  /** Longest retry hint, in seconds. */
  private static final double LONGEST_RETRY_SECONDS = 60;

  /** Time constant of the demand, in nanoseconds. */
  private static final double DEMAND_NANOS = 3e9;

  private final Incarnation self;
  private final Map<String, Usage> usages = new ConcurrentHashMap<>();
  private final Map<Incarnation, Long> sequences = new HashMap<>();
  private volatile Members members;
  private long sequence;
  private long rebalancedNanos;

  /** Creates the limiter of one entry host, which has the whole limit until it knows its peers. */
  public AccountLimiter(Incarnation self) {
    this.self = self;
    this.members = Members.of(Map.of(self, 1.0));
  }

  /**
   * Sets the entry hosts among which the limits are shared; shares start by size for every new set.
   * A host that cannot be reached must stay a member until the platform's host list drops it, so
   * that its share is not given out twice.
   *
   * @param weights sizes relative to each other, of this host and of every host that may be serving
   */
  public synchronized void setMembers(Map<Incarnation, Double> weights) {
    Members changed = Members.of(weights);
    if (changed.epoch != members.epoch) {
      members = changed;
    }
  }

  /**
   * Admits or refuses a request of an account. Each admission must be followed by one {@link
   * #release}.
   *
   * @param limits the account's limits over all entry hosts
   * @param nowNanos monotonic time
   */
  public Admission tryAcquire(String account, AccountLimits limits, long nowNanos) {
    Usage usage = usages.computeIfAbsent(account, name -> new Usage());
    synchronized (usage) {
      return usage.tryAcquire(limits, usage.ledger(self, members).own(), nowNanos);
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
  public synchronized LimitReport rebalance(long nowNanos) {
    rebalancedNanos = nowNanos;
    Map<String, LimitReport.AccountUsage> accounts = new TreeMap<>();
    usages.forEach(
        (account, usage) -> {
          synchronized (usage) {
            ShareLedger ledger = usage.ledger(self, members);
            double demand = usage.demand(nowNanos);
            if (usage.limit > 0) {
              ledger.give(demand, usage.limit, nowNanos);
            }
            accounts.put(
                account,
                new LimitReport.AccountUsage(demand, usage.limit, ledger.own(), ledger.ownGifts()));
          }
        });
    return new LimitReport(self, ++sequence, members.epoch, accounts);
  }

  /**
   * Takes up a peer's report; one of another set of members or an older one is ignored. The report
   * counts as heard at the time of the last {@link #rebalance}.
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

  /** Returns the part of the account's limits that this host applies, from 0 to 1. */
  public double share(String account) {
    Usage usage = usages.computeIfAbsent(account, name -> new Usage());
    synchronized (usage) {
      return usage.ledger(self, members).own();
    }
  }

  /** The hosts that share the limits, with their base shares. */
  private record Members(long epoch, Map<Incarnation, Double> base) {
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
    private long demandNanos;
    private boolean started;

    /**
     * Ledgers by set of members. Earlier ones are kept, because a host that was dropped and comes
     * back still has the gifts of its earlier set; a new ledger there would give them out twice.
     */
    private final Map<Long, ShareLedger> ledgers =
        new LinkedHashMap<>() {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, ShareLedger> eldest) {
            return size() > KEPT_LEDGERS;
          }
        };

    private ShareLedger ledger(Incarnation self, Members members) {
      return ledgers.computeIfAbsent(members.epoch, epoch -> new ShareLedger(self, members.base));
    }

    /** Sets the times at the first use, because a monotonic clock may start below zero. */
    private void start(long nowNanos) {
      if (!started) {
        started = true;
        refilledNanos = nowNanos;
        demandNanos = nowNanos;
      }
    }

    private double demand(long nowNanos) {
      start(nowNanos);
      long elapsed = Math.max(0, nowNanos - demandNanos);
      demand *= Math.exp(-elapsed / DEMAND_NANOS);
      demandNanos = Math.max(demandNanos, nowNanos);
      return demand;
    }

    private Admission tryAcquire(AccountLimits limits, double share, long nowNanos) {
      limit = limits.requestsPerSecond();
      demand = demand(nowNanos) + 1e9 / DEMAND_NANOS;
      double rate = limit * share;
      double capacity = Math.max(1, limits.burst() * share);
      long elapsed = Math.max(0, nowNanos - refilledNanos);
      tokens = Math.min(capacity, tokens + elapsed / 1e9 * rate);
      refilledNanos = Math.max(refilledNanos, nowNanos);
      if (inProgress >= Math.max(1, Math.floor(limits.concurrent() * share))) {
        return Admission.refused(Admission.Cause.CONCURRENCY, CONCURRENCY_RETRY);
      }
      if (tokens < 1) {
        double seconds = rate > 0 ? (1 - tokens) / rate : LONGEST_RETRY_SECONDS;
        double hint = Math.min(LONGEST_RETRY_SECONDS, seconds);
        return Admission.refused(
            Admission.Cause.RATE, Duration.ofMillis((long) Math.ceil(hint * 1000)));
      }
      tokens -= 1;
      inProgress++;
      return Admission.ADMITTED;
    }
  }
}
