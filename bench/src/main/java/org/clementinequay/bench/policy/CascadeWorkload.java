package org.clementinequay.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.cascade.CascadeRequest;
import org.clementinequay.core.config.RequestClass;

/**
 * Generates requests with the quality that each model version would reach. An answer is good if its
 * latent score {@code mean(account, class, version) - difficulty - noise} is positive. The
 * difficulty, half of the variance, is common to all versions, so that requests on which a cheap
 * version fails are harder for the expensive ones too. Each rating observes the latent score with
 * an independent error.
 */
final class CascadeWorkload {
  static final double DURATION_SECONDS = 3600;
  static final double CHECK_MILLIS = 150;
  static final double DRIFT_START_SECONDS = 1200;
  static final double DRIFT_FULL_SECONDS = 1380;
  static final double DRIFT_END_SECONDS = 2400;
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
  private static final double[] CLASS_SHARES = {0.15, 0.30, 0.55};
  private static final int[] MEAN_TOKENS = {800, 40, 120};
  private static final double[] COST_PER_TOKEN = {2, 8, 30};
  private static final double[] MILLIS_PER_TOKEN = {6, 12, 25};
  private static final double[] FIRST_TOKEN_MILLIS = {120, 180, 300};
  private static final double[] BASE_MEAN = {0.5, 1.2, 2.3};
  private static final double[] EASE_WEIGHT = {1, 0.7, 0.3};
  private static final double[] DRIFT_DEPTH = {0.9, 0, 0};
  private static final double RATING_ERROR_SIGMA = 0.25;
  private static final double LOG_TIME_SIGMA = 0.25;

  final List<Item> items = new ArrayList<>();

  CascadeWorkload(RandomGenerator random) {
    double[][] ease = new double[ACCOUNT_WEIGHTS.length][CLASSES.size()];
    for (double[] row : ease) {
      for (int classIndex = 0; classIndex < row.length; classIndex++) {
        row[classIndex] = 0.7 * random.nextGaussian();
      }
    }
    double time = 0;
    while (true) {
      time += random.nextExponential() / REQUESTS_PER_SECOND;
      if (time >= DURATION_SECONDS) {
        return;
      }
      int account = weightedIndex(ACCOUNT_WEIGHTS, random);
      int classIndex = weightedIndex(CLASS_SHARES, random);
      items.add(item(time, account, classIndex, ease[account][classIndex], random));
    }
  }

  private static Item item(
      double time, int account, int classIndex, double ease, RandomGenerator random) {
    int count = VERSIONS.size();
    double[] latent = new double[count];
    double[] millis = new double[count];
    double[] cost = new double[count];
    double difficulty = random.nextGaussian();
    double tokens = MEAN_TOKENS[classIndex] * Math.exp(0.3 * random.nextGaussian());
    for (int version = 0; version < count; version++) {
      double mean =
          BASE_MEAN[version]
              + EASE_WEIGHT[version] * ease
              - DRIFT_DEPTH[version] * driftFraction(time);
      latent[version] = mean - Math.sqrt(0.5) * (difficulty + random.nextGaussian());
      double base = FIRST_TOKEN_MILLIS[version] + tokens * MILLIS_PER_TOKEN[version];
      millis[version] = base * Math.exp(LOG_TIME_SIGMA * random.nextGaussian());
      cost[version] = tokens * COST_PER_TOKEN[version];
    }
    return new Item(time, account, classIndex, latent, millis, cost);
  }

  /** Returns the candidates with the expected cost and time of an average request of the class. */
  static List<CascadeRequest.Candidate> candidates(int classIndex) {
    List<CascadeRequest.Candidate> result = new ArrayList<>();
    for (int version = 0; version < VERSIONS.size(); version++) {
      double millis =
          FIRST_TOKEN_MILLIS[version] + MEAN_TOKENS[classIndex] * MILLIS_PER_TOKEN[version];
      double cost = MEAN_TOKENS[classIndex] * COST_PER_TOKEN[version];
      result.add(new CascadeRequest.Candidate(VERSIONS.get(version), cost, millis));
    }
    return result;
  }

  /** Draws one noisy rating and returns whether it finds the answer good. */
  static boolean isRatedGood(Item item, int version, RandomGenerator random) {
    return item.latent[version] + RATING_ERROR_SIGMA * random.nextGaussian() > 0;
  }

  static double driftFraction(double time) {
    if (time < DRIFT_START_SECONDS || time >= DRIFT_END_SECONDS) {
      return 0;
    }
    return Math.min(1, (time - DRIFT_START_SECONDS) / (DRIFT_FULL_SECONDS - DRIFT_START_SECONDS));
  }

  private static int weightedIndex(double[] weights, RandomGenerator random) {
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

  /**
   * One request that arrives at {@code time}, in seconds. The arrays hold the latent score, the
   * time in milliseconds and the cost in micros for each version.
   */
  record Item(
      double time, int account, int classIndex, double[] latent, double[] millis, double[] cost) {
    boolean good(int version) {
      return latent[version] > 0;
    }

    String accountName() {
      return "account-" + account;
    }
  }
}
