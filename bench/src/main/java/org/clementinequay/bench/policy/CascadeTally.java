package org.clementinequay.bench.policy;

import java.util.Arrays;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.clementinequay.bench.policy.CascadeWorkload.Item;

/** Accumulates cost, quality and latency of one cascade policy over the workload. */
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

  /** Deviation below a target, in standard errors of the sample, that is attributed to chance. */
  private static final double CHANCE_STANDARD_ERRORS = 3;

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
  private int lateAnswers;

  CascadeTally(double windowSeconds) {
    this.windowSeconds = windowSeconds;
    this.windows = (int) Math.ceil(CascadeWorkload.DURATION_SECONDS / windowSeconds);
    this.cost = new double[windows];
    this.count = new int[windows][CLASSES];
    this.good = new int[windows][CLASSES];
  }

  void add(Item item, double itemCost, double itemMillis, boolean itemGood) {
    int window = (int) (item.time() / windowSeconds);
    int cell = item.account() * CLASSES + item.classIndex();
    cost[window] += itemCost;
    count[window][item.classIndex()]++;
    cellCount[cell]++;
    if (itemGood) {
      good[window][item.classIndex()]++;
      cellGood[cell]++;
    }
    millis.recordValue(Math.round(itemMillis));
    if (itemMillis > CascadeWorkload.CLASSES.get(item.classIndex()).deadlineMillis()) {
      lateAnswers++;
    }
  }

  List<Object> row(String name, CascadeTally oracleWithSlack, CascadeTally cheapestGoodOracle) {
    int cellsBelow = 0;
    double worstDifference = Double.POSITIVE_INFINITY;
    for (int cell = 0; cell < cellCount.length; cell++) {
      double target = CascadeWorkload.CLASSES.get(cell % CLASSES).qualityTarget();
      double difference = cellGood[cell] / (double) cellCount[cell] - target;
      worstDifference = Math.min(worstDifference, difference);
      cellsBelow += difference < -chanceDeviation(target, cellCount[cell]) ? 1 : 0;
    }
    int windowsBelow = 0;
    for (int window = 0; window < windows; window++) {
      for (int classIndex = 0; classIndex < CLASSES; classIndex++) {
        double target = CascadeWorkload.CLASSES.get(classIndex).qualityTarget();
        double difference = good[window][classIndex] / (double) count[window][classIndex] - target;
        windowsBelow += difference < -chanceDeviation(target, count[window][classIndex]) ? 1 : 0;
      }
    }
    return List.of(
        name,
        Results.round(totalCost() / requests(), 1),
        Results.round(totalCost() / oracleWithSlack.totalCost(), 3),
        Results.round(totalCost() / cheapestGoodOracle.totalCost(), 3),
        Results.round(quality(0), 4),
        Results.round(quality(1), 4),
        Results.round(quality(2), 4),
        cellsBelow + "/" + cellCount.length,
        Results.round(worstDifference, 4),
        windowsBelow + "/" + windows * CLASSES,
        Math.round(millis.getMean()),
        millis.getValueAtPercentile(50),
        millis.getValueAtPercentile(95),
        Results.round(lateAnswers / (double) requests(), 4));
  }

  double[] costByWindow() {
    double[] result = new double[windows];
    for (int window = 0; window < windows; window++) {
      result[window] = cost[window] / Arrays.stream(count[window]).sum();
    }
    return result;
  }

  double[] qualityByWindow(int classIndex) {
    double[] result = new double[windows];
    for (int window = 0; window < windows; window++) {
      result[window] = good[window][classIndex] / (double) count[window][classIndex];
    }
    return result;
  }

  static double[] windowCentresMinutes(double windowSeconds) {
    double[] result = new double[(int) Math.ceil(CascadeWorkload.DURATION_SECONDS / windowSeconds)];
    for (int window = 0; window < result.length; window++) {
      result[window] = (window + 0.5) * windowSeconds / 60;
    }
    return result;
  }

  private double totalCost() {
    return Arrays.stream(cost).sum();
  }

  private int requests() {
    return Arrays.stream(cellCount).sum();
  }

  private double quality(int classIndex) {
    int sampleSize = 0;
    int goodAnswers = 0;
    for (int window = 0; window < windows; window++) {
      sampleSize += count[window][classIndex];
      goodAnswers += good[window][classIndex];
    }
    return goodAnswers / (double) sampleSize;
  }

  private static double chanceDeviation(double target, int sampleSize) {
    return CHANCE_STANDARD_ERRORS * Math.sqrt(target * (1 - target) / sampleSize);
  }
}
