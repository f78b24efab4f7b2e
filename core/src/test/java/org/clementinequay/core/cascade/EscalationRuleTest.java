package org.clementinequay.core.cascade;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * Tests of {@link EscalationRule}: a larger model must not be asked when its answer would be late,
 * and must be asked below the base threshold while engines are free.
 */
public class EscalationRuleTest {
  private static final long OBJECTIVE_MILLIS = 4000;

  private static double threshold(long elapsed, double wait, double read) {
    return EscalationRule.confidenceThreshold(
        new EscalationRule.Progress(OBJECTIVE_MILLIS, elapsed, wait, read));
  }

  @Test
  public void baseThresholdAppliesWhileEnginesAreFree() {
    assertEquals(threshold(60, 20, 500), (double) EscalationRule.BASE_THRESHOLD);
  }

  @Test
  public void noLargerModelIsAskedWhereItsAnswerWouldBeLate() {
    assertEquals(threshold(2100, 2000, 300), 0.0);
  }

  // The wait counts twice: in the elapsed time, and as the estimate of the next wait.
  @Test
  public void longerWaitsLowerTheThreshold() {
    double before = EscalationRule.BASE_THRESHOLD + 1;
    for (long wait = 500; wait <= 1500; wait += 250) {
      double now = threshold(wait, wait, 300);
      assertTrue(now < before, "at a wait of " + wait + " ms: " + now);
      before = now;
    }
  }

  @Test
  public void negativeWaitDoesNotRaiseTheThreshold() {
    assertEquals(threshold(60, -400, 500), (double) EscalationRule.BASE_THRESHOLD);
  }

  @Test
  public void baseThresholdAppliesWithoutAnObjective() {
    double threshold =
        EscalationRule.confidenceThreshold(new EscalationRule.Progress(0, 5000, 5000, 500));
    assertEquals(threshold, (double) EscalationRule.BASE_THRESHOLD);
  }
}
