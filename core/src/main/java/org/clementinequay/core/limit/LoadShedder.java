package org.clementinequay.core.limit;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Sheds requests that would not be answered before their deadline. Classes of a larger priority
 * number, which are less important, are shed at a shorter wait, so that the lowest class goes
 * first. The estimate of the wait is corrected for each class by the waits that were measured: an
 * engine that honours priorities lets a low class wait several times longer than its place in the
 * queue suggests. Safe for concurrent use.
 */
public final class LoadShedder {
  /** Part of the remaining time that may be spent waiting, for priority 0. */
  private static final double WAIT_PART = 0.8;

  /** Factor on that part for each step of priority. */
  private static final double PART_PER_PRIORITY = 0.7;

  /** Estimates below this say nothing about the ratio, in milliseconds. */
  private static final double LEAST_ESTIMATE_MILLIS = 50;

  /** Weight of one measured wait in the ratio. */
  private static final double RATIO_WEIGHT = 0.1;

  private static final double LARGEST_RATIO = 20;

  /** Half-life with which a ratio returns to one, so that a class that was shed comes back. */
  private static final double RATIO_HALF_LIFE_NANOS = 10e9;

  private final Map<Integer, Ratio> ratios = new ConcurrentHashMap<>();

  /**
   * Learns from an admitted request that an upstream began to answer.
   *
   * @param estimatedWaitMillis the estimate on which it was admitted
   * @param measuredWaitMillis time from the dispatch to the first token, less the usual time
   */
  public void recordWait(
      int priority, double estimatedWaitMillis, double measuredWaitMillis, long nowNanos) {
    if (!(estimatedWaitMillis >= LEAST_ESTIMATE_MILLIS)) {
      return;
    }
    Ratio ratio = ratios.computeIfAbsent(priority, key -> new Ratio());
    synchronized (ratio) {
      double sample = Math.min(LARGEST_RATIO, measuredWaitMillis / estimatedWaitMillis);
      ratio.value = Math.max(1, ratio.at(nowNanos) + RATIO_WEIGHT * (sample - ratio.value));
      ratio.nanos = nowNanos;
    }
  }

  /**
   * Admits or sheds a request before any byte of it is offered to an upstream.
   *
   * @param priority priority of the request class; 0 is the highest
   * @param remainingMillis time left until the deadline
   * @param estimatedWaitMillis estimated wait at the chosen upstream; NaN if there is no estimate
   * @param nowNanos monotonic time
   */
  public Admission admit(
      int priority, long remainingMillis, double estimatedWaitMillis, long nowNanos) {
    double bound = remainingMillis * WAIT_PART * Math.pow(PART_PER_PRIORITY, priority);
    double wait = estimatedWaitMillis * ratio(priority, nowNanos);
    if (Double.isNaN(wait) || wait <= bound) {
      return Admission.ADMITTED;
    }
    return Admission.refused(
        Admission.Cause.OVERLOAD, Duration.ofMillis((long) (wait - bound) + 1));
  }

  private double ratio(int priority, long nowNanos) {
    Ratio ratio = ratios.get(priority);
    if (ratio == null) {
      return 1;
    }
    synchronized (ratio) {
      return ratio.at(nowNanos);
    }
  }

  /** Measured wait in relation to the estimate, of one class. */
  private static final class Ratio {
    private double value = 1;
    private long nanos;

    private double at(long nowNanos) {
      double elapsed = Math.max(0, nowNanos - nanos);
      return 1 + (value - 1) * Math.exp(-Math.log(2) * elapsed / RATIO_HALF_LIFE_NANOS);
    }
  }
}
