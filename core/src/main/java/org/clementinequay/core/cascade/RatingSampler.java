package org.clementinequay.core.cascade;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which released answers are rated. The budget is a fraction of all answers. Water-filling
 * divides it evenly over the pairs of account and class, so that small accounts receive as many
 * ratings as large ones; with one fixed probability the rates of small accounts would follow a
 * drift minutes later. Safe for concurrent use.
 */
public final class RatingSampler {
  /** Interval between two computations of the cap, in nanoseconds: 1 second. */
  private static final long REFRESH_NANOS = 1_000_000_000L;

  /** Weight of the previous average at each refresh; gives a half-life of about 30 s. */
  private static final double DECAY_PER_REFRESH = 0.977;

  private final double budget;

  /** By account and class: answers since the last refresh, and their average per interval. */
  private final Map<String, double[]> answerCounts = new HashMap<>();

  /** Answers of one account and class per interval up to which all are rated. */
  private double cap = Double.POSITIVE_INFINITY;

  private long lastRefreshNanos = Long.MIN_VALUE;

  /** Creates a sampler for a budget given as a fraction of all answers, from 0 to 1. */
  public RatingSampler(double budget) {
    this.budget = budget;
  }

  /**
   * Counts an answer and returns whether it is to be rated.
   *
   * @param draw uniform random number in [0, 1) that decides where not all answers are rated
   * @param nowNanos monotonic time
   */
  public synchronized boolean sample(
      String account, String requestClass, double draw, long nowNanos) {
    double[] counts =
        answerCounts.computeIfAbsent(account + "/" + requestClass, key -> new double[2]);
    counts[0]++;
    if (lastRefreshNanos == Long.MIN_VALUE) {
      lastRefreshNanos = nowNanos;
    }
    while (nowNanos - lastRefreshNanos >= REFRESH_NANOS) {
      refresh();
      lastRefreshNanos += REFRESH_NANOS;
    }
    return counts[1] <= cap ? draw < 1 : draw < cap / counts[1];
  }

  private void refresh() {
    double total = 0;
    double largest = 0;
    for (double[] counts : answerCounts.values()) {
      counts[1] = counts[1] * DECAY_PER_REFRESH + counts[0] * (1 - DECAY_PER_REFRESH);
      counts[0] = 0;
      total += counts[1];
      largest = Math.max(largest, counts[1]);
    }
    answerCounts.values().removeIf(counts -> counts[1] < 1e-6);
    double low = 0;
    double high = largest;
    for (int i = 0; i < 20; i++) {
      double middle = (low + high) / 2;
      double sampled = 0;
      for (double[] counts : answerCounts.values()) {
        sampled += Math.min(counts[1], middle);
      }
      if (sampled < budget * total) {
        low = middle;
      } else {
        high = middle;
      }
    }
    cap = high;
  }
}
