package org.clementinequay.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.cascade.CascadeRequest;
import org.clementinequay.core.config.RequestClass;

/**
 * Requests with the quality that each version would reach. An answer is good if its latent score is
 * positive: {@code mean(account, class, version) - difficulty - noise}, with half of the variance
 * shared by all versions, so that requests on which a cheap version fails are harder for the dear
 * ones too. Each rating sees the latent score with an error of its own.
 */
final class CascadeWorkload {
  static final double SECONDS = 3600;
  static final double CHECK_MILLIS = 150;
  static final double DRIFT_START = 1200;
  static final double DRIFT_FULL = 1380;
  static final double DRIFT_END = 2400;
  static final List<ModelVersion> VERSIONS =
      List.of(
          new ModelVersion("small", "1"),
          new ModelVersion("medium", "1"),
          new ModelVersion("large", "1"));
  static final List<RequestClass> CLASSES =
      List.of(
          new RequestClass("sheet", 0, 60_000, 0.95),
          new RequestClass("flag", 1, 4_000, 0.97),
          new RequestClass("tag", 2, 10_000, 0.90));
  static final double[] ACCOUNT_WEIGHTS = {30, 22, 14, 8, 7, 6, 5, 4, 2, 2};

  private static final double REQUESTS_PER_SECOND = 40;
  private static final double[] CLASS_PARTS = {0.15, 0.30, 0.55};
  private static final int[] TOKENS = {800, 40, 120};
  private static final double[] COST_PER_TOKEN = {2, 8, 30};
  private static final double[] MILLIS_PER_TOKEN = {6, 12, 25};
  private static final double[] FIRST_TOKEN_MILLIS = {120, 180, 300};
  private static final double[] BASE_MEAN = {0.5, 1.2, 2.3};
  private static final double[] EASE_FACTOR = {1, 0.7, 0.3};
  private static final double[] DRIFT_DEPTH = {0.9, 0, 0};
  private static final double RATING_ERROR = 0.25;
  private static final double TIME_SIGMA = 0.25;

  final List<Item> items = new ArrayList<>();

  CascadeWorkload(RandomGenerator random) {
    double[][] ease = new double[ACCOUNT_WEIGHTS.length][CLASSES.size()];
    for (double[] row : ease) {
      for (int c = 0; c < row.length; c++) {
        row[c] = 0.7 * random.nextGaussian();
      }
    }
    double time = 0;
    while (true) {
      time += random.nextExponential() / REQUESTS_PER_SECOND;
      if (time >= SECONDS) {
        return;
      }
      int account = pick(ACCOUNT_WEIGHTS, random);
      int type = pick(CLASS_PARTS, random);
      items.add(item(time, account, type, ease[account][type], random));
    }
  }

  private static Item item(
      double time, int account, int type, double ease, RandomGenerator random) {
    int count = VERSIONS.size();
    double[] latent = new double[count];
    double[] millis = new double[count];
    double[] cost = new double[count];
    double difficulty = random.nextGaussian();
    double tokens = TOKENS[type] * Math.exp(0.3 * random.nextGaussian());
    for (int v = 0; v < count; v++) {
      double mean = BASE_MEAN[v] + EASE_FACTOR[v] * ease - DRIFT_DEPTH[v] * drift(time);
      latent[v] = mean - Math.sqrt(0.5) * (difficulty + random.nextGaussian());
      double base = FIRST_TOKEN_MILLIS[v] + tokens * MILLIS_PER_TOKEN[v];
      millis[v] = base * Math.exp(TIME_SIGMA * random.nextGaussian());
      cost[v] = tokens * COST_PER_TOKEN[v];
    }
    return new Item(time, account, type, latent, millis, cost);
  }

  /** Candidates with the costs and times expected of an average request of the class. */
  static List<CascadeRequest.Candidate> candidates(int type) {
    List<CascadeRequest.Candidate> result = new ArrayList<>();
    for (int v = 0; v < VERSIONS.size(); v++) {
      double millis = FIRST_TOKEN_MILLIS[v] + TOKENS[type] * MILLIS_PER_TOKEN[v];
      double cost = TOKENS[type] * COST_PER_TOKEN[v];
      result.add(new CascadeRequest.Candidate(VERSIONS.get(v), cost, millis));
    }
    return result;
  }

  /** Returns whether one noisy rating finds the answer good. */
  static boolean rate(Item item, int version, RandomGenerator random) {
    return item.latent[version] + RATING_ERROR * random.nextGaussian() > 0;
  }

  static double drift(double time) {
    if (time < DRIFT_START || time >= DRIFT_END) {
      return 0;
    }
    return Math.min(1, (time - DRIFT_START) / (DRIFT_FULL - DRIFT_START));
  }

  private static int pick(double[] weights, RandomGenerator random) {
    double sum = 0;
    for (double weight : weights) {
      sum += weight;
    }
    double draw = random.nextDouble() * sum;
    int index = 0;
    while (index < weights.length - 1 && draw >= weights[index]) {
      draw -= weights[index++];
    }
    return index;
  }

  /** One request: latent score, time in milliseconds and cost in micros for each version. */
  record Item(double time, int account, int type, double[] latent, double[] millis, double[] cost) {
    boolean good(int version) {
      return latent[version] > 0;
    }

    String accountName() {
      return "account-" + account;
    }
  }
}
