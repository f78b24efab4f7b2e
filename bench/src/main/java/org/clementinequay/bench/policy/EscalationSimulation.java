package org.clementinequay.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.clementinequay.core.cascade.EscalationRule;

/**
 * Replays the requests of one failure domain that is cut off with part of its engines for some
 * seconds, on a virtual clock. Each request asks the smallest model first; a rule decides by its
 * confidence whether the largest one is asked.
 */
final class EscalationSimulation {
  /** Length of the run, and the span of the cut, in milliseconds. */
  private static final double END = 40_000;

  private static final double CUT_FROM = 10_000;
  private static final double CUT_UNTIL = 15_500;

  /** Requests to engines in the domain, a millisecond; from the deployment sheet of sprig-pnw. */
  private static final double ARRIVALS_PER_MILLI = 0.0136;

  private static final double SMALL_PACE = 0.3;
  private static final double LARGE_PACE = 3.0;

  /** Share of requests that the smallest model answers well. */
  private static final double SMALL_QUALITY = 0.54;

  /** Confidence is the truth with an error of this standard deviation around 20 or 80. */
  private static final double CONFIDENCE_ERROR = 25;

  private static final long OBJECTIVE_MILLIS = 4000;

  /** Kinds of request: share, prompt tokens, output tokens; the order is their urgency. */
  private static final double[] SHARES = {0.245, 0.394, 0.361};

  private static final int[] PROMPT_TOKENS = {9000, 1500, 2500};
  private static final int[] OUTPUT_TOKENS = {380, 290, 23};

  private final Rule rule;
  private final RandomGenerator random;
  private final List<BatchedEngine> engines = new ArrayList<>();
  private final int enginesInCut;
  private int cutRequests;
  private int cutOnTime;
  private int cutGood;
  private int easeRequests;
  private int easeGood;

  /** Returns whether the largest model is asked. */
  interface Rule {
    boolean escalates(Seen seen);
  }

  /**
   * State of a request when the smaller answer begins.
   *
   * @param hard whether the smaller answer is bad, which only an oracle knows
   * @param backlogMillis work at the freest engine, which only an oracle knows
   */
  record Seen(
      double confidence, EscalationRule.Progress progress, boolean hard, double backlogMillis) {}

  /**
   * Shares of requests.
   *
   * @param onTime sent during the cut, with the first event within the objective
   * @param good sent during the cut, on time and answered by a model that answers them well
   * @param goodAtEase the same of those sent before the cut
   */
  record Outcome(double onTime, double good, double goodAtEase) {}

  EscalationSimulation(double[] speeds, int enginesInCut, Rule rule, RandomGenerator random) {
    for (double speed : speeds) {
      engines.add(new BatchedEngine(speed));
    }
    this.enginesInCut = enginesInCut;
    this.rule = rule;
    this.random = random;
  }

  Outcome run() {
    double time = 0;
    while (time < END) {
      time += random.nextExponential() / ARRIVALS_PER_MILLI;
      for (BatchedEngine engine : engines) {
        engine.advance(time);
      }
      request(time);
    }
    engines.forEach(engine -> engine.advance(2 * END));
    return new Outcome(
        cutOnTime / (double) cutRequests,
        cutGood / (double) cutRequests,
        easeGood / (double) easeRequests);
  }

  private void request(double time) {
    double draw = random.nextDouble();
    int kind = draw < SHARES[0] ? 0 : draw < SHARES[0] + SHARES[1] ? 1 : 2;
    boolean hard = random.nextDouble() >= SMALL_QUALITY;
    double confidence = (hard ? 20 : 80) + CONFIDENCE_ERROR * random.nextGaussian();
    boolean cut = time >= CUT_FROM && time < CUT_UNTIL;
    cutRequests += cut ? 1 : 0;
    easeRequests += time < CUT_FROM ? 1 : 0;
    double smallRead = SMALL_PACE * PROMPT_TOKENS[kind] / 56.9;
    send(
        kind,
        time,
        time,
        SMALL_PACE,
        (run, now) -> {
          EscalationRule.Progress progress =
              new EscalationRule.Progress(
                  OBJECTIVE_MILLIS,
                  (long) (now - time),
                  now - time - smallRead,
                  LARGE_PACE * PROMPT_TOKENS[kind] / 56.9);
          if (!rule.escalates(new Seen(confidence, progress, hard, freest(now).backlogMillis()))) {
            finished(time, now, !hard);
            return true;
          }
          send(
              kind,
              time,
              now,
              LARGE_PACE,
              (larger, first) -> {
                finished(time, first, true);
                return true;
              });
          return false;
        });
  }

  private void send(
      int kind, double arrived, double time, double pace, BatchedEngine.FirstToken listener) {
    freest(time)
        .send(
            new BatchedEngine.Run(
                kind, time, pace, PROMPT_TOKENS[kind], OUTPUT_TOKENS[kind], listener));
  }

  /** Returns the engine with the least work among those that the domain reaches. */
  private BatchedEngine freest(double time) {
    boolean cut = time >= CUT_FROM && time < CUT_UNTIL;
    BatchedEngine best = null;
    for (BatchedEngine engine : engines.subList(0, cut ? enginesInCut : engines.size())) {
      if (best == null || engine.backlogMillis() < best.backlogMillis()) {
        best = engine;
      }
    }
    return best;
  }

  private void finished(double arrived, double now, boolean good) {
    boolean onTime = now - arrived <= OBJECTIVE_MILLIS;
    if (arrived >= CUT_FROM && arrived < CUT_UNTIL) {
      cutOnTime += onTime ? 1 : 0;
      cutGood += onTime && good ? 1 : 0;
    } else if (arrived < CUT_FROM) {
      easeGood += onTime && good ? 1 : 0;
    }
  }
}
