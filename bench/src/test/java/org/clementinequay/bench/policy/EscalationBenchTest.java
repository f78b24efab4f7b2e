package org.clementinequay.bench.policy;

import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.util.Map;
import org.testng.annotations.Test;

/**
 * Guards against escalations to larger models that overload the engines that a partitioned failure
 * domain still reaches.
 */
public class EscalationBenchTest {
  private final EscalationBench bench =
      new EscalationBench(new Results("escalation", 1, Path.of("unused")));
  private final Map<String, EscalationSimulation.Rule> rules = EscalationBench.rules();

  private EscalationSimulation.Outcome outcome(String rule, int reachableEngines) {
    return bench.meanOutcome(rules.get(rule), reachableEngines);
  }

  @Test
  public void partitionedDomainServesMoreByObservedWaitThanByConstant() {
    for (int reachableEngines = 1; reachableEngines <= 2; reachableEngines++) {
      EscalationSimulation.Outcome before = outcome("constant confidence", reachableEngines);
      EscalationSimulation.Outcome after = outcome("by the wait seen", reachableEngines);
      assertTrue(
          after.onTime() > before.onTime(), reachableEngines + ": " + before + " to " + after);
      assertTrue(after.good() > before.good(), reachableEngines + ": " + before + " to " + after);
    }
  }

  // Guards against an oracle that does worse than a rule, since it would be no upper bound.
  @Test
  public void oracleServesAtLeastAsManyGoodAnswersAsEachRule() {
    for (int reachableEngines = 1; reachableEngines <= 2; reachableEngines++) {
      double oracle = outcome("oracle", reachableEngines).good();
      for (String rule : rules.keySet()) {
        assertTrue(
            oracle >= outcome(rule, reachableEngines).good(), rule + " with " + reachableEngines);
      }
    }
  }
}
