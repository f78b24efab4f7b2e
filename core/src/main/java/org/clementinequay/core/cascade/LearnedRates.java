package org.clementinequay.core.cascade;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.ModelVersion;

/**
 * Learned pass rates and answer times, as a state-based replicated counter: every origin changes
 * only its own counters and numbers its reports, a receiver keeps the report with the highest
 * number per origin, and readers add the origins up. The merge is therefore commutative and
 * idempotent. All counts decay with time, so that drift is followed and counts of processes that
 * are gone fade out. Safe for concurrent use.
 */
public final class LearnedRates {
  /** Half-life of the counts that give precision, in nanoseconds: 30 minutes. */
  static final long SLOW_HALF_LIFE_NANOS = 1_800_000_000_000L;

  /** Half-life of the counts that reveal drift, in nanoseconds: 1 minute. */
  static final long FAST_HALF_LIFE_NANOS = 60_000_000_000L;

  /** Weight of the prior of a pool, in ratings. */
  private static final double PRIOR_WEIGHT = 2;

  /** Bounds of the weight of the pool over all accounts for one account, in ratings. */
  private static final double LEAST_POOL_WEIGHT = 4;

  private static final double MOST_POOL_WEIGHT = 200;

  /** Interval at which the pools are computed anew, in nanoseconds. */
  private static final long POOL_INTERVAL_NANOS = 1_000_000_000L;

  /** Fall of the fast below the slow rate, in standard errors, that is taken for drift. */
  private static final double FALL_SIGMAS = 2.5;

  /** Ratings by which the counts may differ by chance however few they are; avoids alarms at 1. */
  private static final double CONTINUITY = 1;

  /** Rise that is taken for drift; larger because a false rise lowers the quality. */
  private static final double RISE_SIGMAS = 3;

  /** Counters below this count are dropped from memory and reports. */
  private static final double NEGLIGIBLE = 0.01;

  private final Incarnation self;
  private final Map<Incarnation, Origin> origins = new HashMap<>();
  private final Map<RateKey, Pool> pools = new HashMap<>();
  private long poolsNanos = Long.MIN_VALUE;
  private long sequence;

  /** Creates an empty store of the entry host process. */
  public LearnedRates(Incarnation self) {
    this.self = self;
  }

  /** Counts one rating. */
  public synchronized void record(RateKey key, boolean good, long nowNanos) {
    Origin own = origin(self, nowNanos);
    own.age(nowNanos);
    own.rate(key).add(good);
  }

  /** Counts the time of one whole answer of a version. */
  public synchronized void recordTime(
      String requestClass, ModelVersion version, double millis, long nowNanos) {
    Origin own = origin(self, nowNanos);
    own.age(nowNanos);
    own.times.computeIfAbsent(new TimeKey(requestClass, version), k -> new Time()).add(millis);
  }

  /** Returns this process's own counters, to be broadcast. */
  public synchronized RateReport report(long nowNanos) {
    return origin(self, nowNanos).report(self, ++sequence, nowNanos);
  }

  /** Returns the last known counters of every other origin, for a peer that has just joined. */
  public synchronized List<RateReport> reportsOfOtherOrigins(long nowNanos) {
    List<RateReport> reports = new ArrayList<>();
    origins.forEach(
        (incarnation, origin) -> {
          if (!incarnation.equals(self)) {
            reports.add(origin.report(incarnation, origin.sequence, nowNanos));
          }
        });
    return reports;
  }

  /** Takes up a report unless it is this process's own or not newer than what is known. */
  public synchronized void merge(RateReport report, long nowNanos) {
    Origin known = origins.get(report.origin());
    if (report.origin().equals(self) || (known != null && known.sequence >= report.sequence())) {
      return;
    }
    Origin fresh = new Origin(nowNanos);
    fresh.sequence = report.sequence();
    for (RateReport.RateCounts c : report.rates()) {
      fresh.rates.put(c.key(), new Rate(c.slowGood(), c.slowBad(), c.fastGood(), c.fastBad()));
    }
    for (RateReport.TimeCounts c : report.times()) {
      fresh.times.put(
          new TimeKey(c.requestClass(), c.version()),
          new Time(c.count(), c.sumMillis(), c.sumSquares()));
    }
    origins.put(report.origin(), fresh);
  }

  /**
   * Returns the estimate of a rate from all origins. The prior is the pool over all accounts with
   * the weight that empirical Bayes gives it: large where accounts hardly differ.
   */
  public synchronized Estimate rate(RateKey key, long nowNanos) {
    if (poolsNanos == Long.MIN_VALUE || nowNanos - poolsNanos >= POOL_INTERVAL_NANOS) {
      computePools(nowNanos);
    }
    Pool pool = pools.getOrDefault(key.pooled(), new Pool(key.kind().priorMean(), PRIOR_WEIGHT));
    return sum(key, nowNanos).estimate(pool.mean, pool.weight);
  }

  /** Returns the estimate of the time of a whole answer, in milliseconds. */
  public synchronized Estimate time(
      String requestClass, ModelVersion version, double defaultMillis, long nowNanos) {
    TimeKey key = new TimeKey(requestClass, version);
    Time total = new Time(1, defaultMillis, 1.25 * defaultMillis * defaultMillis);
    for (Origin origin : origins.values()) {
      origin.age(nowNanos);
      Time time = origin.times.get(key);
      if (time != null) {
        total.count += time.count;
        total.sum += time.sum;
        total.sumSquares += time.sumSquares;
      }
    }
    double mean = total.sum / total.count;
    return new Estimate(mean, Math.max(0, total.sumSquares / total.count - mean * mean));
  }

  private void computePools(long nowNanos) {
    Map<RateKey, Rate> totals = new HashMap<>();
    for (Origin origin : origins.values()) {
      origin.age(nowNanos);
      origin.rates.forEach(
          (key, rate) -> totals.computeIfAbsent(key, k -> new Rate(0, 0, 0, 0)).addAll(rate));
    }
    Map<RateKey, List<Rate>> byPool = new HashMap<>();
    totals.forEach(
        (key, rate) -> byPool.computeIfAbsent(key.pooled(), k -> new ArrayList<>()).add(rate));
    pools.clear();
    byPool.forEach((key, members) -> pools.put(key, Pool.of(members, key.kind().priorMean())));
    poolsNanos = nowNanos;
  }

  private Rate sum(RateKey key, long nowNanos) {
    Rate total = new Rate(0, 0, 0, 0);
    for (Origin origin : origins.values()) {
      origin.age(nowNanos);
      Rate rate = origin.rates.get(key);
      if (rate != null) {
        total.addAll(rate);
      }
    }
    return total;
  }

  private Origin origin(Incarnation incarnation, long nowNanos) {
    return origins.computeIfAbsent(incarnation, key -> new Origin(nowNanos));
  }

  /**
   * An estimated quantity.
   *
   * @param mean its mean
   * @param variance for a rate the variance of the estimate, for a time the variance of one time
   */
  public record Estimate(double mean, double variance) {}

  /** Mean over accounts, and its weight as the prior of one account, in ratings. */
  private record Pool(double mean, double weight) {
    /** Estimates the variance between accounts by the method of moments. */
    private static Pool of(List<Rate> members, double priorMean) {
      Rate total = new Rate(0, 0, 0, 0);
      members.forEach(total::addAll);
      double mean = total.mean(priorMean, PRIOR_WEIGHT);
      double within = mean * (1 - mean);
      double excess = 0;
      double weights = 0;
      for (Rate member : members) {
        double n = member.count();
        double difference = member.slowGood / n - mean;
        excess += n * (difference * difference - within / n);
        weights += n;
      }
      double between = Math.max(excess / weights, 0);
      double weight = between > 0 ? within / between - 1 : MOST_POOL_WEIGHT;
      double bound = Math.min(MOST_POOL_WEIGHT, PRIOR_WEIGHT + total.count());
      return new Pool(mean, Math.min(bound, Math.max(LEAST_POOL_WEIGHT, weight)));
    }
  }

  private record TimeKey(String requestClass, ModelVersion version) {}

  private static final class Origin {
    /** Shortest interval between two ageings, in nanoseconds; finer steps change nothing. */
    private static final long AGE_STEP_NANOS = 1_000_000_000L;

    private final Map<RateKey, Rate> rates = new HashMap<>();
    private final Map<TimeKey, Time> times = new HashMap<>();
    private long agedNanos;
    private long sequence;

    private Origin(long nowNanos) {
      agedNanos = nowNanos;
    }

    private Rate rate(RateKey key) {
      return rates.computeIfAbsent(key, k -> new Rate(0, 0, 0, 0));
    }

    private void age(long nowNanos) {
      long elapsed = nowNanos - agedNanos;
      if (elapsed < AGE_STEP_NANOS) {
        return;
      }
      agedNanos = nowNanos;
      double slow = Math.exp(-Math.log(2) * elapsed / SLOW_HALF_LIFE_NANOS);
      double fast = Math.exp(-Math.log(2) * elapsed / FAST_HALF_LIFE_NANOS);
      rates.values().forEach(rate -> rate.age(slow, fast));
      rates.values().removeIf(rate -> rate.count() < NEGLIGIBLE);
      times.values().forEach(time -> time.age(slow));
      times.values().removeIf(time -> time.count < NEGLIGIBLE);
    }

    private RateReport report(Incarnation incarnation, long number, long nowNanos) {
      age(nowNanos);
      List<RateReport.RateCounts> rateCounts = new ArrayList<>();
      rates.forEach(
          (key, r) ->
              rateCounts.add(
                  new RateReport.RateCounts(key, r.slowGood, r.slowBad, r.fastGood, r.fastBad)));
      List<RateReport.TimeCounts> timeCounts = new ArrayList<>();
      times.forEach(
          (key, t) ->
              timeCounts.add(
                  new RateReport.TimeCounts(
                      key.requestClass(), key.version(), t.count, t.sum, t.sumSquares)));
      return new RateReport(incarnation, number, rateCounts, timeCounts);
    }
  }

  private static final class Rate {
    private double slowGood;
    private double slowBad;
    private double fastGood;
    private double fastBad;

    private Rate(double slowGood, double slowBad, double fastGood, double fastBad) {
      this.slowGood = slowGood;
      this.slowBad = slowBad;
      this.fastGood = fastGood;
      this.fastBad = fastBad;
    }

    private void add(boolean good) {
      if (good) {
        slowGood++;
        fastGood++;
      } else {
        slowBad++;
        fastBad++;
      }
    }

    private void addAll(Rate other) {
      slowGood += other.slowGood;
      slowBad += other.slowBad;
      fastGood += other.fastGood;
      fastBad += other.fastBad;
    }

    private void age(double slow, double fast) {
      slowGood *= slow;
      slowBad *= slow;
      fastGood *= fast;
      fastBad *= fast;
    }

    private double count() {
      return slowGood + slowBad;
    }

    private double mean(double prior, double weight) {
      return (slowGood + prior * weight) / (count() + weight);
    }

    /** Returns the Beta posterior; the fast counts alone where they contradict the slow ones. */
    private Estimate estimate(double prior, double weight) {
      double mean = mean(prior, weight);
      double fastCount = fastGood + fastBad;
      double difference = fastGood - fastCount * mean;
      double deviation = Math.sqrt(fastCount * Math.max(mean * (1 - mean), 0.01));
      double sigmas = difference < 0 ? FALL_SIGMAS : RISE_SIGMAS;
      if (Math.abs(difference) - CONTINUITY > sigmas * deviation) {
        return beta((fastGood + mean) / (fastCount + 1), fastCount + 1);
      }
      return beta(mean, count() + weight);
    }

    private static Estimate beta(double mean, double count) {
      return new Estimate(mean, mean * (1 - mean) / (count + 1));
    }
  }

  private static final class Time {
    private double count;
    private double sum;
    private double sumSquares;

    private Time() {
      this(0, 0, 0);
    }

    private Time(double count, double sum, double sumSquares) {
      this.count = count;
      this.sum = sum;
      this.sumSquares = sumSquares;
    }

    private void add(double millis) {
      count++;
      sum += millis;
      sumSquares += millis * millis;
    }

    private void age(double factor) {
      count *= factor;
      sum *= factor;
      sumSquares *= factor;
    }
  }
}
