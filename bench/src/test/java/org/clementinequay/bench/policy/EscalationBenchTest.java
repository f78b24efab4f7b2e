package org.clementinequay.bench.policy;

import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.util.Map;
import org.testng.annotations.Test;

/** Guards against larger models that fill the engines of a failure domain that is cut off. */
public class EscalationBenchTest {
  private final EscalationBench bench =
      new EscalationBench(new Results("escalation", 1, Path.of("unused")));
  private final Map<String, EscalationSimulation.Rule> rules = EscalationBench.rules();

  private EscalationSimulation.Outcome play(String rule, int reached) {
    return bench.mean(rules.get(rule), reached);
  }

  @Test
  public void cutDomainServesMoreByTheWaitSeenThanByAConstant() {
    for (int reached = 1; reached <= 2; reached++) {
      EscalationSimulation.Outcome before = play("constant confidence", reached);
      EscalationSimulation.Outcome after = play("by the wait seen", reached);
      assertTrue(after.onTime() > before.onTime(), reached + ": " + before + " to " + after);
      assertTrue(after.good() > before.good(), reached + ": " + before + " to " + after);
    }
  }

  // Guards against an oracle that knows less than the rules, and so proves nothing.
  @Test
  public void oracleServesAtLeastAsManyWell() {
    for (int reached = 1; reached <= 2; reached++) {
      double oracle = play("oracle", reached).good();
      for (String rule : rules.keySet()) {
        assertTrue(oracle >= play(rule, reached).good(), rule + " with " + reached);
      }
    }
  }
}
