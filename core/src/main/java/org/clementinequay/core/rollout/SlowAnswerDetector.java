package org.clementinequay.core.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * Detects answers that took several times as long as is usual on the versions in service. Compares
 * with an exponential moving average for each kind of work. The threshold is above the difference
 * in speed between upstreams, which is up to a factor of 2.5; a bad version is slower than that.
 * Thread-safe.
 */
public final class SlowAnswerDetector {
  /** An answer is slow if it took more than this multiple of the average. */
  static final double SLOW_FACTOR = 4;

  /** Number of samples of a kind of work below which no answer counts as slow. */
  static final int MIN_SAMPLES = 8;

  /** Weight of a new sample in the moving average, once there are 10 samples. */
  private static final double SMOOTHING_FACTOR = 0.1;

  private final Map<String, Average> averages = new HashMap<>();

  /**
   * Returns whether an answer was slow, and adds it to the average if it came from a version in
   * service.
   *
   * @param kind name of a kind of work, within which times are comparable
   * @param value duration, in any unit that is the same for all answers of the kind
   * @param inService whether the answer came from a version in service
   */
  public synchronized boolean observe(String kind, double value, boolean inService) {
    Average average = averages.computeIfAbsent(kind, k -> new Average());
    boolean slow = average.samples >= MIN_SAMPLES && value > SLOW_FACTOR * average.mean;
    if (inService) {
      average.add(value);
    }
    return slow;
  }

  private static final class Average {
    private int samples;
    private double mean;

    private void add(double value) {
      samples++;
      mean += (value - mean) * Math.max(SMOOTHING_FACTOR, 1.0 / samples);
    }
  }
}
