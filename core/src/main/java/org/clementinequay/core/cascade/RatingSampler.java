package org.clementinequay.core.cascade;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which released answers are rated. The budget is a part of all answers; it is spread
 * evenly over accounts and classes by water-filling, so that small accounts are rated as often as
 * large ones: with one fixed probability their rates would follow a drift minutes later. Safe for
 * concurrent use.
 */
public final class RatingSampler {
  /** Interval between two computations of the level, in nanoseconds. */
  private static final long REFRESH_NANOS = 1_000_000_000L;

  /** Part of the old rate that is kept at each refresh; a half-life of about 30 s. */
  private static final double KEPT_PER_REFRESH = 0.977;

  private final double budget;
  private final Map<String, double[]> flows = new HashMap<>();
  private double level = Double.POSITIVE_INFINITY;
  private long refreshedNanos = Long.MIN_VALUE;

  /** Creates a sampler for a budget given as a part of all answers, from 0 to 1. */
  public RatingSampler(double budget) {
    this.budget = budget;
  }

  /**
   * Decides for one answer.
   *
   * @param draw uniform random number in [0, 1)
   */
  public synchronized boolean sample(
      String account, String requestClass, double draw, long nowNanos) {
    double[] flow = flows.computeIfAbsent(account + "/" + requestClass, key -> new double[2]);
    flow[0]++;
    if (refreshedNanos == Long.MIN_VALUE) {
      refreshedNanos = nowNanos;
    }
    while (nowNanos - refreshedNanos >= REFRESH_NANOS) {
      refresh();
      refreshedNanos += REFRESH_NANOS;
    }
    return flow[1] <= level ? draw < 1 : draw < level / flow[1];
  }

  private void refresh() {
    double total = 0;
    double largest = 0;
    for (double[] flow : flows.values()) {
      flow[1] = flow[1] * KEPT_PER_REFRESH + flow[0] * (1 - KEPT_PER_REFRESH);
      flow[0] = 0;
      total += flow[1];
      largest = Math.max(largest, flow[1]);
    }
    flows.values().removeIf(flow -> flow[1] < 1e-6);
    double low = 0;
    double high = largest;
    for (int i = 0; i < 20; i++) {
      double middle = (low + high) / 2;
      double used = 0;
      for (double[] flow : flows.values()) {
        used += Math.min(flow[1], middle);
      }
      if (used < budget * total) {
        low = middle;
      } else {
        high = middle;
      }
    }
    level = high;
  }
}
