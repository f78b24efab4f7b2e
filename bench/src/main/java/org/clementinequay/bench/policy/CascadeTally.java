package org.clementinequay.bench.policy;

import java.util.Arrays;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.clementinequay.bench.policy.CascadeWorkload.Item;

/** Sums of one cascade policy over the workload. */
final class CascadeTally {
  static final List<String> HEADER =
      List.of(
          "policy",
          "cost/request",
          "x oracle with slack",
          "x oracle",
          "sheet good",
          "flag good",
          "tag good",
          "cells below",
          "worst cell",
          "windows below",
          "mean ms",
          "p50 ms",
          "p95 ms",
          "late");

  /** Standard errors of a sample of this size that are put down to chance. */
  private static final double CHANCE_SIGMAS = 3;

  private static final int CLASSES = CascadeWorkload.CLASSES.size();
  private static final int ACCOUNTS = CascadeWorkload.ACCOUNT_WEIGHTS.length;

  private final double windowSeconds;
  private final int windows;
  private final double[] cost;
  private final int[][] count;
  private final int[][] good;
  private final int[] cellCount = new int[ACCOUNTS * CLASSES];
  private final int[] cellGood = new int[ACCOUNTS * CLASSES];
  private final Histogram millis = new Histogram(3);
  private int late;

  CascadeTally(double windowSeconds) {
    this.windowSeconds = windowSeconds;
    this.windows = (int) Math.ceil(CascadeWorkload.SECONDS / windowSeconds);
    this.cost = new double[windows];
    this.count = new int[windows][CLASSES];
    this.good = new int[windows][CLASSES];
  }

  void add(Item item, double itemCost, double itemMillis, boolean itemGood) {
    int window = (int) (item.time() / windowSeconds);
    int cell = item.account() * CLASSES + item.type();
    cost[window] += itemCost;
    count[window][item.type()]++;
    cellCount[cell]++;
    if (itemGood) {
      good[window][item.type()]++;
      cellGood[cell]++;
    }
    millis.recordValue(Math.round(itemMillis));
    if (itemMillis > CascadeWorkload.CLASSES.get(item.type()).deadlineMillis()) {
      late++;
    }
  }

  List<Object> row(String name, CascadeTally strict, CascadeTally plain) {
    int below = 0;
    double worst = Double.POSITIVE_INFINITY;
    for (int cell = 0; cell < cellCount.length; cell++) {
      double target = CascadeWorkload.CLASSES.get(cell % CLASSES).qualityTarget();
      double difference = cellGood[cell] / (double) cellCount[cell] - target;
      worst = Math.min(worst, difference);
      below += difference < -chance(target, cellCount[cell]) ? 1 : 0;
    }
    int windowsBelow = 0;
    for (int w = 0; w < windows; w++) {
      for (int type = 0; type < CLASSES; type++) {
        double target = CascadeWorkload.CLASSES.get(type).qualityTarget();
        double difference = good[w][type] / (double) count[w][type] - target;
        windowsBelow += difference < -chance(target, count[w][type]) ? 1 : 0;
      }
    }
    return List.of(
        name,
        Results.round(totalCost() / requests(), 1),
        Results.round(totalCost() / strict.totalCost(), 3),
        Results.round(totalCost() / plain.totalCost(), 3),
        Results.round(quality(0), 4),
        Results.round(quality(1), 4),
        Results.round(quality(2), 4),
        below + "/" + cellCount.length,
        Results.round(worst, 4),
        windowsBelow + "/" + windows * CLASSES,
        Math.round(millis.getMean()),
        millis.getValueAtPercentile(50),
        millis.getValueAtPercentile(95),
        Results.round(late / (double) requests(), 4));
  }

  double[] costByWindow() {
    double[] result = new double[windows];
    for (int w = 0; w < windows; w++) {
      result[w] = cost[w] / Arrays.stream(count[w]).sum();
    }
    return result;
  }

  double[] qualityByWindow(int type) {
    double[] result = new double[windows];
    for (int w = 0; w < windows; w++) {
      result[w] = good[w][type] / (double) count[w][type];
    }
    return result;
  }

  static double[] minutes(double windowSeconds) {
    double[] result = new double[(int) Math.ceil(CascadeWorkload.SECONDS / windowSeconds)];
    for (int w = 0; w < result.length; w++) {
      result[w] = (w + 0.5) * windowSeconds / 60;
    }
    return result;
  }

  private double totalCost() {
    return Arrays.stream(cost).sum();
  }

  private int requests() {
    return Arrays.stream(cellCount).sum();
  }

  private double quality(int type) {
    int n = 0;
    int ok = 0;
    for (int w = 0; w < windows; w++) {
      n += count[w][type];
      ok += good[w][type];
    }
    return ok / (double) n;
  }

  private static double chance(double target, int n) {
    return CHANCE_SIGMAS * Math.sqrt(target * (1 - target) / n);
  }
}
