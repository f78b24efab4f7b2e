package org.clementinequay.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the number of tokens that a request generates from the caller's estimate, weighed by
 * how wrong such estimates were on its route. Lengths and errors are taken as log-normal: the
 * estimate is the posterior mean between the lengths of the route and that of the caller.
 * Thread-safe.
 */
public final class OutputLengths {
  /** Answers of a route from which on its lengths count. */
  static final int MIN_SAMPLES = 16;

  /** Weight of a new sample in the moving averages. */
  private static final double SAMPLE_WEIGHT = 0.05;

  private static final int MAX_ROUTES = 1024;

  private final Map<String, Lengths> byRoute = new HashMap<>();

  /**
   * Records a complete answer.
   *
   * @param expectedTokens the caller's estimate
   */
  public synchronized void record(String route, int expectedTokens, long tokens) {
    if (expectedTokens <= 0 || tokens <= 0) {
      return;
    }
    if (byRoute.size() < MAX_ROUTES || byRoute.containsKey(route)) {
      byRoute
          .computeIfAbsent(route, name -> new Lengths())
          .record(Math.log(tokens), Math.log((double) tokens / expectedTokens));
    }
  }

  /** Returns the expected number of tokens; the caller's estimate while too little is known. */
  public synchronized int estimate(String route, int expectedTokens) {
    Lengths lengths = byRoute.get(route);
    if (lengths == null || lengths.samples < MIN_SAMPLES || expectedTokens <= 0) {
      return expectedTokens;
    }
    return (int) Math.min(Integer.MAX_VALUE, lengths.expected(Math.log(expectedTokens)));
  }

  private static final class Lengths {
    private int samples;
    private double mean;
    private double variance;
    private double errorSquare;

    private void record(double logTokens, double logError) {
      samples = Math.min(MIN_SAMPLES, samples + 1);
      double weight = Math.max(SAMPLE_WEIGHT, 1.0 / samples);
      double difference = logTokens - mean;
      mean += weight * difference;
      variance = (1 - weight) * (variance + weight * difference * difference);
      errorSquare += weight * (logError * logError - errorSquare);
    }

    private double expected(double logEstimate) {
      double sum = variance + errorSquare;
      if (sum == 0) {
        return Math.exp(logEstimate);
      }
      double posterior = (variance * logEstimate + errorSquare * mean) / sum;
      return Math.exp(posterior + variance * errorSquare / sum / 2);
    }
  }
}
