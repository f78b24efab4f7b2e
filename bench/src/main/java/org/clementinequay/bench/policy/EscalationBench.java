package org.clementinequay.bench.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.clementinequay.core.cascade.EscalationRule;

/** Compares rules for asking a larger model while a failure domain is cut off. */
final class EscalationBench {
  /** Confidence below which the larger model was asked before the rule knew the wait. */
  private static final double CONSTANT = 50;

  /** Runs of each rule; each has the same requests for all rules. */
  private static final int RUNS = 20;

  /** Speeds of the engines that a domain shares the use of; the first ones are its own. */
  private static final double[] SPEEDS = {0.7, 0.7, 1.7};

  private final Results results;

  EscalationBench(Results results) {
    this.results = results;
  }

  static Map<String, EscalationSimulation.Rule> rules() {
    Map<String, EscalationSimulation.Rule> rules = new LinkedHashMap<>();
    rules.put("never", seen -> false);
    rules.put("always", seen -> true);
    rules.put("constant confidence", seen -> seen.confidence() < CONSTANT);
    rules.put(
        "by the wait seen",
        seen -> seen.confidence() < EscalationRule.confidenceThreshold(seen.progress()));
    rules.put("oracle", EscalationBench::oracle);
    return rules;
  }

  /** Asks for hard requests only, and where the true queue lets the answer come in time. */
  private static boolean oracle(EscalationSimulation.Seen seen) {
    EscalationRule.Progress progress = seen.progress();
    double expected = progress.elapsedMillis() + seen.backlogMillis() + progress.readMillis();
    return seen.hard() && expected <= progress.objectiveMillis();
  }

  void run() {
    List<List<Object>> rows = new ArrayList<>();
    for (int reached = 1; reached <= SPEEDS.length; reached++) {
      for (Map.Entry<String, EscalationSimulation.Rule> rule : rules().entrySet()) {
        EscalationSimulation.Outcome mean = mean(rule.getValue(), reached);
        rows.add(
            List.of(
                rule.getKey(),
                reached,
                Results.round(mean.onTime(), 3),
                Results.round(mean.good(), 3),
                Results.round(mean.goodAtEase(), 3)));
      }
    }
    results.table(
        "requests of a domain while it reaches some of its engines",
        List.of("rule", "engines reached", "on time", "on time and good", "good before the cut"),
        rows);
  }

  EscalationSimulation.Outcome mean(EscalationSimulation.Rule rule, int reached) {
    double onTime = 0;
    double good = 0;
    double ease = 0;
    for (int i = 0; i < RUNS; i++) {
      EscalationSimulation.Outcome outcome =
          new EscalationSimulation(SPEEDS, reached, rule, results.random(i)).run();
      onTime += outcome.onTime() / RUNS;
      good += outcome.good() / RUNS;
      ease += outcome.goodAtEase() / RUNS;
    }
    return new EscalationSimulation.Outcome(onTime, good, ease);
  }
}
