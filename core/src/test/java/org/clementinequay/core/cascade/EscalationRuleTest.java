package org.clementinequay.core.cascade;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards against larger models being asked for answers that come too late, or not at ease. */
public class EscalationRuleTest {
  private static final long OBJECTIVE_MILLIS = 4000;

  private static double asked(long elapsed, double wait, double read) {
    return EscalationRule.confidenceThreshold(
        new EscalationRule.Progress(OBJECTIVE_MILLIS, elapsed, wait, read));
  }

  @Test
  public void fullConfidenceIsAskedForWhileEnginesAreFree() {
    assertEquals(asked(60, 20, 500), (double) EscalationRule.CONFIDENCE_AT_EASE);
  }

  @Test
  public void noLargerModelIsAskedForAnAnswerThatWouldBeLate() {
    assertEquals(asked(2100, 2000, 300), 0.0);
  }

  // The seen wait counts once for the time gone and once for the time to come.
  @Test
  public void longerWaitsAskForLessConfidence() {
    double before = EscalationRule.CONFIDENCE_AT_EASE + 1;
    for (long wait = 500; wait <= 1500; wait += 250) {
      double now = asked(wait, wait, 300);
      assertTrue(now < before, "at a wait of " + wait + " ms: " + now);
      before = now;
    }
  }

  @Test
  public void quickAnswerOfAFreeEngineDoesNotRaiseTheConfidence() {
    assertEquals(asked(60, -400, 500), (double) EscalationRule.CONFIDENCE_AT_EASE);
  }

  @Test
  public void routeWithoutAnObjectiveAsksForFullConfidence() {
    double asked =
        EscalationRule.confidenceThreshold(new EscalationRule.Progress(0, 5000, 5000, 500));
    assertEquals(asked, (double) EscalationRule.CONFIDENCE_AT_EASE);
  }
}
