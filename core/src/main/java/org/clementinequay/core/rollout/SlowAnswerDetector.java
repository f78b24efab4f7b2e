package org.clementinequay.core.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells whether an answer took several times as long as usual on the versions in service. Compares
 * with a moving average for each kind of work, because upstreams differ in speed by up to 2.5 times
 * and a bad version is slower than that. Thread-safe.
 */
public final class SlowAnswerDetector {
  /** Factor above the usual time from which an answer is slow. */
  static final double SLOW_FACTOR = 4;

  /** Samples before which nothing is called slow. */
  static final int MIN_SAMPLES = 8;

  private static final double WEIGHT = 0.1;

  private final Map<String, Average> averages = new HashMap<>();

  /**
   * Judges an answer, and learns from it if it came from a version in service.
   *
   * @param kind kind of work whose times are comparable
   * @param value time, in any unit that is the same for the kind
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
      mean += (value - mean) * Math.max(WEIGHT, 1.0 / samples);
    }
  }
}
