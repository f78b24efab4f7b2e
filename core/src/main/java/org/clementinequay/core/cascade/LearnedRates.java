package org.clementinequay.core.cascade;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.ModelVersion;

/**
 * Learned shares of good answers and answer times, kept as a state-based replicated counter (CRDT):
 * each origin, an entry host process, changes only its own counters and numbers its reports, a
 * receiver keeps the report with the highest number of each origin, and estimates use the sum over
 * all origins. The merge is therefore commutative and idempotent. All counts decay exponentially,
 * so that estimates follow drift and counts of terminated processes disappear. Safe for concurrent
 * use.
 */
public final class LearnedRates {
  /** Half-life of the slow counts, which give precise estimates, in nanoseconds: 30 minutes. */
  static final long SLOW_HALF_LIFE_NANOS = 1_800_000_000_000L;

  /** Half-life of the fast counts, which detect drift, in nanoseconds: 1 minute. */
  static final long FAST_HALF_LIFE_NANOS = 60_000_000_000L;

  /** Weight of the prior mean in the mean over all accounts, in ratings. */
  private static final double PRIOR_WEIGHT = 2;

  /** Bounds of the weight of the mean over all accounts as prior of one account, in ratings. */
  private static final double MIN_POOL_WEIGHT = 4;

  private static final double MAX_POOL_WEIGHT = 200;

  /** Interval at which the pools are recomputed, in nanoseconds: 1 second. */
  private static final long POOL_INTERVAL_NANOS = 1_000_000_000L;

  /** Standard errors by which the fast rate must fall below the slow one to count as drift. */
  private static final double DOWNWARD_DRIFT_SIGMAS = 2.5;

  /**
   * Difference in ratings that is always attributed to chance, however few ratings there are, so
   * that a single rating is not taken for drift.
   */
  private static final double CONTINUITY_CORRECTION = 1;

  /**
   * Standard errors by which the fast rate must rise above the slow one to count as drift; larger
   * than for a fall, because following a false rise lowers the quality.
   */
  private static final double UPWARD_DRIFT_SIGMAS = 3;

  /** Counters whose count has decayed below this are removed from memory and reports. */
  private static final double NEGLIGIBLE_COUNT = 0.01;

  private final Incarnation self;
  private final Map<Incarnation, Origin> origins = new HashMap<>();
  private final Map<RateKey, Pool> pools = new HashMap<>();
  private long poolsComputedNanos = Long.MIN_VALUE;
  private long sequence;

  /** Creates an empty store for the entry host process with the given incarnation. */
  public LearnedRates(Incarnation self) {
    this.self = self;
  }

  /** Counts one rating of this process; other processes learn of it from the next report. */
  public synchronized void record(RateKey key, boolean good, long nowNanos) {
    Origin own = origin(self, nowNanos);
    own.decayTo(nowNanos);
    own.rate(key).add(good);
  }

  /** Counts the time of one complete answer of a version, in milliseconds. */
  public synchronized void recordTime(
      String requestClass, ModelVersion version, double millis, long nowNanos) {
    Origin own = origin(self, nowNanos);
    own.decayTo(nowNanos);
    own.times
        .computeIfAbsent(new TimeKey(requestClass, version), k -> new TimeMoments())
        .add(millis);
  }

  /** Returns this process's own counters for broadcast, with the next sequence number. */
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

  /** Stores a report unless it is this process's own or not newer than the known one. */
  public synchronized void merge(RateReport report, long nowNanos) {
    Origin known = origins.get(report.origin());
    if (report.origin().equals(self) || (known != null && known.sequence >= report.sequence())) {
      return;
    }
    Origin replacement = new Origin(nowNanos);
    replacement.sequence = report.sequence();
    for (RateReport.RateCounts c : report.rates()) {
      replacement.rates.put(
          c.key(), new RatingCounter(c.slowGood(), c.slowBad(), c.fastGood(), c.fastBad()));
    }
    for (RateReport.TimeCounts c : report.times()) {
      replacement.times.put(
          new TimeKey(c.requestClass(), c.version()),
          new TimeMoments(c.count(), c.sumMillis(), c.sumSquares()));
    }
    origins.put(report.origin(), replacement);
  }

  /**
   * Returns the estimate of a rate from the counts of all origins. The prior is the mean over all
   * accounts with the weight that empirical Bayes gives it, which is large where accounts differ
   * little.
   */
  public synchronized Estimate rate(RateKey key, long nowNanos) {
    if (poolsComputedNanos == Long.MIN_VALUE
        || nowNanos - poolsComputedNanos >= POOL_INTERVAL_NANOS) {
      computePools(nowNanos);
    }
    Pool pool = pools.getOrDefault(key.pooled(), new Pool(key.kind().priorMean(), PRIOR_WEIGHT));
    return totalCounts(key, nowNanos).estimate(pool.mean, pool.weight);
  }

  /**
   * Returns the estimate of the time of a complete answer, in milliseconds.
   *
   * @param defaultMillis expected time while nothing was measured; it counts as one answer
   */
  public synchronized Estimate time(
      String requestClass, ModelVersion version, double defaultMillis, long nowNanos) {
    TimeKey key = new TimeKey(requestClass, version);
    TimeMoments total = new TimeMoments(1, defaultMillis, 1.25 * defaultMillis * defaultMillis);
    for (Origin origin : origins.values()) {
      origin.decayTo(nowNanos);
      TimeMoments time = origin.times.get(key);
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
    Map<RateKey, RatingCounter> totals = new HashMap<>();
    for (Origin origin : origins.values()) {
      origin.decayTo(nowNanos);
      origin.rates.forEach(
          (key, rate) ->
              totals.computeIfAbsent(key, k -> new RatingCounter(0, 0, 0, 0)).addAll(rate));
    }
    Map<RateKey, List<RatingCounter>> byPool = new HashMap<>();
    totals.forEach(
        (key, rate) -> byPool.computeIfAbsent(key.pooled(), k -> new ArrayList<>()).add(rate));
    pools.clear();
    byPool.forEach((key, members) -> pools.put(key, Pool.of(members, key.kind().priorMean())));
    poolsComputedNanos = nowNanos;
  }

  private RatingCounter totalCounts(RateKey key, long nowNanos) {
    RatingCounter total = new RatingCounter(0, 0, 0, 0);
    for (Origin origin : origins.values()) {
      origin.decayTo(nowNanos);
      RatingCounter rate = origin.rates.get(key);
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
   * @param variance variance of the estimated mean for a rate, but of a single value for a time
   */
  public record Estimate(double mean, double variance) {}

  /** Mean of a rate over all accounts, and its weight as prior of one account, in ratings. */
  private record Pool(double mean, double weight) {
    /** Derives the weight from the variance between accounts, by the method of moments. */
    private static Pool of(List<RatingCounter> members, double priorMean) {
      RatingCounter total = new RatingCounter(0, 0, 0, 0);
      members.forEach(total::addAll);
      double mean = total.mean(priorMean, PRIOR_WEIGHT);
      double varianceWithin = mean * (1 - mean);
      double weightedExcess = 0;
      double totalRatings = 0;
      for (RatingCounter member : members) {
        double ratings = member.count();
        double difference = member.slowGood / ratings - mean;
        weightedExcess += ratings * (difference * difference - varianceWithin / ratings);
        totalRatings += ratings;
      }
      double varianceBetween = Math.max(weightedExcess / totalRatings, 0);
      double weight = varianceBetween > 0 ? varianceWithin / varianceBetween - 1 : MAX_POOL_WEIGHT;
      double maxWeight = Math.min(MAX_POOL_WEIGHT, PRIOR_WEIGHT + total.count());
      return new Pool(mean, Math.min(maxWeight, Math.max(MIN_POOL_WEIGHT, weight)));
    }
  }

  private record TimeKey(String requestClass, ModelVersion version) {}

  private static final class Origin {
    /** Minimum interval between two decays, in nanoseconds; a shorter one has no effect. */
    private static final long MIN_DECAY_INTERVAL_NANOS = 1_000_000_000L;

    private final Map<RateKey, RatingCounter> rates = new HashMap<>();
    private final Map<TimeKey, TimeMoments> times = new HashMap<>();
    private long decayedNanos;
    private long sequence;

    private Origin(long nowNanos) {
      decayedNanos = nowNanos;
    }

    private RatingCounter rate(RateKey key) {
      return rates.computeIfAbsent(key, k -> new RatingCounter(0, 0, 0, 0));
    }

    private void decayTo(long nowNanos) {
      long elapsed = nowNanos - decayedNanos;
      if (elapsed < MIN_DECAY_INTERVAL_NANOS) {
        return;
      }
      decayedNanos = nowNanos;
      double slowFactor = Math.exp(-Math.log(2) * elapsed / SLOW_HALF_LIFE_NANOS);
      double fastFactor = Math.exp(-Math.log(2) * elapsed / FAST_HALF_LIFE_NANOS);
      rates.values().forEach(rate -> rate.decay(slowFactor, fastFactor));
      rates.values().removeIf(rate -> rate.count() < NEGLIGIBLE_COUNT);
      times.values().forEach(time -> time.decay(slowFactor));
      times.values().removeIf(time -> time.count < NEGLIGIBLE_COUNT);
    }

    private RateReport report(Incarnation incarnation, long number, long nowNanos) {
      decayTo(nowNanos);
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

  private static final class RatingCounter {
    private double slowGood;
    private double slowBad;
    private double fastGood;
    private double fastBad;

    private RatingCounter(double slowGood, double slowBad, double fastGood, double fastBad) {
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

    private void addAll(RatingCounter other) {
      slowGood += other.slowGood;
      slowBad += other.slowBad;
      fastGood += other.fastGood;
      fastBad += other.fastBad;
    }

    private void decay(double slowFactor, double fastFactor) {
      slowGood *= slowFactor;
      slowBad *= slowFactor;
      fastGood *= fastFactor;
      fastBad *= fastFactor;
    }

    private double count() {
      return slowGood + slowBad;
    }

    private double mean(double prior, double weight) {
      return (slowGood + prior * weight) / (count() + weight);
    }

    /**
     * Returns the mean and variance of the Beta posterior. If the fast counts contradict the slow
     * ones, they are used in place of them.
     */
    private Estimate estimate(double prior, double weight) {
      double mean = mean(prior, weight);
      double fastCount = fastGood + fastBad;
      double difference = fastGood - fastCount * mean;
      double deviation = Math.sqrt(fastCount * Math.max(mean * (1 - mean), 0.01));
      double sigmas = difference < 0 ? DOWNWARD_DRIFT_SIGMAS : UPWARD_DRIFT_SIGMAS;
      if (Math.abs(difference) - CONTINUITY_CORRECTION > sigmas * deviation) {
        return beta((fastGood + mean) / (fastCount + 1), fastCount + 1);
      }
      return beta(mean, count() + weight);
    }

    private static Estimate beta(double mean, double count) {
      return new Estimate(mean, mean * (1 - mean) / (count + 1));
    }
  }

  private static final class TimeMoments {
    private double count;
    private double sum;
    private double sumSquares;

    private TimeMoments() {
      this(0, 0, 0);
    }

    private TimeMoments(double count, double sum, double sumSquares) {
      this.count = count;
      this.sum = sum;
      this.sumSquares = sumSquares;
    }

    private void add(double millis) {
      count++;
      sum += millis;
      sumSquares += millis * millis;
    }

    private void decay(double factor) {
      count *= factor;
      sum *= factor;
      sumSquares *= factor;
    }
  }
}
