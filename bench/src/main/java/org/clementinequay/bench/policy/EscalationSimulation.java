package org.clementinequay.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.clementinequay.core.cascade.EscalationRule;

/**
 * Simulates the requests of one failure domain on a virtual clock. During a partition of some
 * seconds the domain reaches only part of its engines. Each request asks the smallest model first;
 * a rule decides by the confidence of that answer whether to ask the largest one.
 */
final class EscalationSimulation {
  /** Duration of the run, and start and end of the partition, in milliseconds. */
  private static final double END_MILLIS = 40_000;

  private static final double PARTITION_START_MILLIS = 10_000;
  private static final double PARTITION_END_MILLIS = 15_500;

  /** Requests of the domain to engines per millisecond, from the deployment sheet of sprig-pnw. */
  private static final double ARRIVALS_PER_MILLISECOND = 0.0136;

  private static final double SMALL_TIME_FACTOR = 0.3;
  private static final double LARGE_TIME_FACTOR = 3.0;

  /** Share of requests that the smallest model answers well. */
  private static final double SMALL_GOOD_SHARE = 0.54;

  /**
   * Standard deviation of the confidence, whose mean is 20 for hard requests and 80 for the others.
   */
  private static final double CONFIDENCE_SIGMA = 25;

  private static final long OBJECTIVE_MILLIS = 4000;

  /**
   * Share, prompt tokens and output tokens of each kind of request. The array index is the urgency;
   * 0 is served first.
   */
  private static final double[] KIND_SHARES = {0.245, 0.394, 0.361};

  private static final int[] PROMPT_TOKENS = {9000, 1500, 2500};
  private static final int[] OUTPUT_TOKENS = {380, 290, 23};

  private final Rule rule;
  private final RandomGenerator random;
  private final List<BatchedEngine> engines = new ArrayList<>();
  private final int reachableEngines;
  private int partitionRequests;
  private int partitionOnTime;
  private int partitionGood;
  private int requestsBeforePartition;
  private int goodBeforePartition;

  /** Decides whether a request escalates to the largest model. */
  interface Rule {
    boolean shouldEscalate(Observation observation);
  }

  /**
   * State of a request when the answer of the smaller model begins.
   *
   * @param hard whether the answer of the smaller model is bad, which only an oracle knows
   * @param backlogMillis time that the least loaded engine needs for its requests, which only an
   *     oracle knows
   */
  record Observation(
      double confidence, EscalationRule.Progress progress, boolean hard, double backlogMillis) {}

  /**
   * Results of a run as shares of the requests.
   *
   * @param onTime share of the requests sent during the partition whose first event came within the
   *     objective
   * @param good share of the requests sent during the partition that were on time and got a good
   *     answer
   * @param goodBeforePartition share of the requests sent before the partition that were on time
   *     and got a good answer
   */
  record Outcome(double onTime, double good, double goodBeforePartition) {}

  EscalationSimulation(double[] speeds, int reachableEngines, Rule rule, RandomGenerator random) {
    for (double speed : speeds) {
      engines.add(new BatchedEngine(speed));
    }
    this.reachableEngines = reachableEngines;
    this.rule = rule;
    this.random = random;
  }

  Outcome run() {
    double time = 0;
    while (time < END_MILLIS) {
      time += random.nextExponential() / ARRIVALS_PER_MILLISECOND;
      for (BatchedEngine engine : engines) {
        engine.advance(time);
      }
      sendRequest(time);
    }
    engines.forEach(engine -> engine.advance(2 * END_MILLIS));
    return new Outcome(
        partitionOnTime / (double) partitionRequests,
        partitionGood / (double) partitionRequests,
        goodBeforePartition / (double) requestsBeforePartition);
  }

  private void sendRequest(double time) {
    double draw = random.nextDouble();
    int kind = draw < KIND_SHARES[0] ? 0 : draw < KIND_SHARES[0] + KIND_SHARES[1] ? 1 : 2;
    boolean hard = random.nextDouble() >= SMALL_GOOD_SHARE;
    double confidence = (hard ? 20 : 80) + CONFIDENCE_SIGMA * random.nextGaussian();
    boolean partitioned = time >= PARTITION_START_MILLIS && time < PARTITION_END_MILLIS;
    partitionRequests += partitioned ? 1 : 0;
    requestsBeforePartition += time < PARTITION_START_MILLIS ? 1 : 0;
    double smallReadMillis = SMALL_TIME_FACTOR * PROMPT_TOKENS[kind] / 56.9;
    send(
        kind,
        time,
        time,
        SMALL_TIME_FACTOR,
        (run, now) -> {
          EscalationRule.Progress progress =
              new EscalationRule.Progress(
                  OBJECTIVE_MILLIS,
                  (long) (now - time),
                  now - time - smallReadMillis,
                  LARGE_TIME_FACTOR * PROMPT_TOKENS[kind] / 56.9);
          if (!rule.shouldEscalate(
              new Observation(
                  confidence, progress, hard, leastLoadedEngine(now).backlogMillis()))) {
            recordAnswer(time, now, !hard);
            return true;
          }
          send(
              kind,
              time,
              now,
              LARGE_TIME_FACTOR,
              (larger, firstToken) -> {
                recordAnswer(time, firstToken, true);
                return true;
              });
          return false;
        });
  }

  private void send(
      int kind,
      double arrivedAt,
      double time,
      double timeFactor,
      BatchedEngine.FirstTokenListener listener) {
    leastLoadedEngine(time)
        .send(
            new BatchedEngine.Run(
                kind, time, timeFactor, PROMPT_TOKENS[kind], OUTPUT_TOKENS[kind], listener));
  }

  /** Returns the engine with the smallest backlog among those that the domain reaches. */
  private BatchedEngine leastLoadedEngine(double time) {
    boolean partitioned = time >= PARTITION_START_MILLIS && time < PARTITION_END_MILLIS;
    BatchedEngine best = null;
    for (BatchedEngine engine :
        engines.subList(0, partitioned ? reachableEngines : engines.size())) {
      if (best == null || engine.backlogMillis() < best.backlogMillis()) {
        best = engine;
      }
    }
    return best;
  }

  private void recordAnswer(double arrivedAt, double now, boolean good) {
    boolean onTime = now - arrivedAt <= OBJECTIVE_MILLIS;
    if (arrivedAt >= PARTITION_START_MILLIS && arrivedAt < PARTITION_END_MILLIS) {
      partitionOnTime += onTime ? 1 : 0;
      partitionGood += onTime && good ? 1 : 0;
    } else if (arrivedAt < PARTITION_START_MILLIS) {
      goodBeforePartition += onTime && good ? 1 : 0;
    }
  }
}
