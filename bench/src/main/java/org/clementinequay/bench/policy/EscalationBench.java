package org.clementinequay.bench.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.clementinequay.core.cascade.EscalationRule;

/** Compares rules for escalating to a larger model during a partition of a failure domain. */
final class EscalationBench {
  /** Confidence below which requests escalated before the rule took the wait into account. */
  private static final double CONSTANT_THRESHOLD = 50;

  /** Runs of each rule; run {@code i} has the same random seed for all rules. */
  private static final int RUNS = 20;

  /** Speeds of the engines that the domain uses together with others; its own come first. */
  private static final double[] ENGINE_SPEEDS = {0.7, 0.7, 1.7};

  private final Results results;

  EscalationBench(Results results) {
    this.results = results;
  }

  static Map<String, EscalationSimulation.Rule> rules() {
    Map<String, EscalationSimulation.Rule> rules = new LinkedHashMap<>();
    rules.put("never", observation -> false);
    rules.put("always", observation -> true);
    rules.put("constant confidence", observation -> observation.confidence() < CONSTANT_THRESHOLD);
    rules.put(
        "by the wait seen",
        observation ->
            observation.confidence() < EscalationRule.confidenceThreshold(observation.progress()));
    rules.put("oracle", EscalationBench::oracle);
    return rules;
  }

  /** Escalates only hard requests, and only if the true backlog allows an answer in time. */
  private static boolean oracle(EscalationSimulation.Observation observation) {
    EscalationRule.Progress progress = observation.progress();
    double expectedMillis =
        progress.elapsedMillis() + observation.backlogMillis() + progress.readMillis();
    return observation.hard() && expectedMillis <= progress.objectiveMillis();
  }

  void run() {
    List<List<Object>> rows = new ArrayList<>();
    for (int reachableEngines = 1; reachableEngines <= ENGINE_SPEEDS.length; reachableEngines++) {
      for (Map.Entry<String, EscalationSimulation.Rule> rule : rules().entrySet()) {
        EscalationSimulation.Outcome outcome = meanOutcome(rule.getValue(), reachableEngines);
        rows.add(
            List.of(
                rule.getKey(),
                reachableEngines,
                Results.round(outcome.onTime(), 3),
                Results.round(outcome.good(), 3),
                Results.round(outcome.goodBeforePartition(), 3)));
      }
    }
    results.table(
        "requests of a domain while it reaches some of its engines",
        List.of("rule", "engines reached", "on time", "on time and good", "good before the cut"),
        rows);
  }

  EscalationSimulation.Outcome meanOutcome(EscalationSimulation.Rule rule, int reachableEngines) {
    double onTime = 0;
    double good = 0;
    double goodBeforePartition = 0;
    for (int i = 0; i < RUNS; i++) {
      EscalationSimulation.Outcome outcome =
          new EscalationSimulation(ENGINE_SPEEDS, reachableEngines, rule, results.random(i)).run();
      onTime += outcome.onTime() / RUNS;
      good += outcome.good() / RUNS;
      goodBeforePartition += outcome.goodBeforePartition() / RUNS;
    }
    return new EscalationSimulation.Outcome(onTime, good, goodBeforePartition);
  }
}
