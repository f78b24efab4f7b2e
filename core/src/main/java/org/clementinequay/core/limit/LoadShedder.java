package org.clementinequay.core.limit;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Sheds requests that are unlikely to be answered before their deadline. Classes with a larger
 * priority number are less important and are shed at a shorter wait, so that the least important
 * class is shed first. The estimated wait is multiplied for each priority by the ratio of measured
 * to estimated waits: at an engine that schedules by priority, a class of low priority waits
 * several times longer than its position in the queue suggests. Safe for concurrent use.
 */
public final class LoadShedder {
  /** Fraction of the remaining time that a request of priority 0 may wait. */
  private static final double MAX_WAIT_FRACTION = 0.8;

  /** Factor on that fraction for each further priority. */
  private static final double FRACTION_PER_PRIORITY = 0.7;

  /** Estimates below this are too small for a meaningful ratio, in milliseconds. */
  private static final double MIN_ESTIMATE_MILLIS = 50;

  /** Weight of one measured wait in the moving average of the ratio. */
  private static final double SMOOTHING_FACTOR = 0.1;

  private static final double MAX_RATIO = 20;

  /**
   * Half-life with which a ratio decays to one, in nanoseconds: 10 seconds. The decay lets a class
   * that was shed be admitted again.
   */
  private static final double RATIO_HALF_LIFE_NANOS = 10e9;

  private final Map<Integer, WaitRatio> ratios = new ConcurrentHashMap<>();

  /**
   * Updates the ratio of a priority when an upstream has begun to answer an admitted request.
   *
   * @param priority priority of the request class; 0 is the highest
   * @param estimatedWaitMillis the estimate with which it was admitted; NaN or a small value has no
   *     effect
   * @param measuredWaitMillis time from the dispatch to the first token, less the usual time
   * @param nowNanos monotonic time
   */
  public void recordWait(
      int priority, double estimatedWaitMillis, double measuredWaitMillis, long nowNanos) {
    if (!(estimatedWaitMillis >= MIN_ESTIMATE_MILLIS)) {
      return;
    }
    WaitRatio ratio = ratios.computeIfAbsent(priority, key -> new WaitRatio());
    synchronized (ratio) {
      double sample = Math.min(MAX_RATIO, measuredWaitMillis / estimatedWaitMillis);
      ratio.value =
          Math.max(1, ratio.decayedTo(nowNanos) + SMOOTHING_FACTOR * (sample - ratio.value));
      ratio.updatedNanos = nowNanos;
    }
  }

  /**
   * Admits or sheds a request; to be called before any byte of it is sent to an upstream.
   *
   * @param priority priority of the request class; 0 is the highest
   * @param remainingMillis time left until the deadline
   * @param estimatedWaitMillis estimated wait at the chosen upstream; NaN if there is no estimate,
   *     which admits the request
   * @param nowNanos monotonic time
   */
  public Admission admit(
      int priority, long remainingMillis, double estimatedWaitMillis, long nowNanos) {
    double maxWaitMillis =
        remainingMillis * MAX_WAIT_FRACTION * Math.pow(FRACTION_PER_PRIORITY, priority);
    double waitMillis = estimatedWaitMillis * ratio(priority, nowNanos);
    if (Double.isNaN(waitMillis) || waitMillis <= maxWaitMillis) {
      return Admission.ADMITTED;
    }
    return Admission.refused(
        Admission.Cause.OVERLOAD, Duration.ofMillis((long) (waitMillis - maxWaitMillis) + 1));
  }

  private double ratio(int priority, long nowNanos) {
    WaitRatio ratio = ratios.get(priority);
    if (ratio == null) {
      return 1;
    }
    synchronized (ratio) {
      return ratio.decayedTo(nowNanos);
    }
  }

  /** Moving average of measured wait divided by estimated wait, for one priority; at least 1. */
  private static final class WaitRatio {
    private double value = 1;
    private long updatedNanos;

    private double decayedTo(long nowNanos) {
      double elapsedNanos = Math.max(0, nowNanos - updatedNanos);
      return 1 + (value - 1) * Math.exp(-Math.log(2) * elapsedNanos / RATIO_HALF_LIFE_NANOS);
    }
  }
}
