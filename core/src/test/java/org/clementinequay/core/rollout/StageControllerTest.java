package org.clementinequay.core.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.clementinequay.core.config.ObjectiveWeights;
import org.testng.annotations.Test;

/** Tests of {@link StageController}. */
public class StageControllerTest {
  private static final StageController CONTROLLER = new StageController(ObjectiveWeights.EQUAL);
  private static final VersionCounts LIVE = new VersionCounts(10_000, 20, 1000, 50);
  private static final RolloutState START =
      RolloutState.begin(0, VersionCounts.NONE, VersionCounts.NONE);

  /** Tests of {@link StageController#decide}. */
  public static class Decide {
    // Fails if a stage ends before the ratings of its answers can have arrived.
    @Test
    public void stageNeedsBothTimeAndRatings() {
      VersionCounts good = new VersionCounts(200, 0, 200, 8);
      assertFalse(CONTROLLER.decide(START, good, LIVE, 59_000).changed());
      assertFalse(
          CONTROLLER.decide(START, new VersionCounts(50, 0, 50, 2), LIVE, 900_000).changed());
      assertEquals(CONTROLLER.decide(START, good, LIVE, 60_000).state().stage(), 1);
    }

    // Fails if a bad version is stopped only after all ratings that the stage requires.
    @Test
    public void badVersionIsStoppedBeforeTheStageEnds() {
      VersionCounts bad = new VersionCounts(60, 0, 60, 30);
      StageDecision decision = CONTROLLER.decide(START, bad, LIVE, 5_000);
      assertEquals(decision.state().status(), RolloutState.Status.STOPPED);
      assertEquals(StageController.share(decision.state()), 0.0);
    }

    // Fails if only ratings are compared, so that failed attempts do not stop the version.
    @Test
    public void errorsAloneStopTheVersion() {
      VersionCounts failing = new VersionCounts(100, 20, 80, 4);
      assertEquals(
          CONTROLLER.decide(START, failing, LIVE, 5_000).state().status(),
          RolloutState.Status.STOPPED);
    }

    // Fails if a new holder of the lease restarts the roll-out or loses a stop.
    @Test
    public void resumesFromTheStoredRowAlone() {
      VersionCounts good = new VersionCounts(200, 0, 200, 8);
      RolloutState nextStage = CONTROLLER.decide(START, good, LIVE, 60_000).state();
      RolloutState resumed = RolloutState.parse(nextStage.encode());
      assertEquals(resumed, nextStage);
      RolloutState stopped =
          CONTROLLER
              .decide(resumed, good.plus(new VersionCounts(90, 0, 90, 60)), LIVE.plus(LIVE), 70_000)
              .state();
      RolloutState stoppedAndResumed = RolloutState.parse(stopped.encode());
      assertFalse(CONTROLLER.decide(stoppedAndResumed, good, LIVE, 999_000).changed());
    }

    // Fails if counts become negative when a host is lost with its counters.
    @Test
    public void decreasingCountsGiveNoNegativeEvidence() {
      RolloutState state = RolloutState.begin(0, new VersionCounts(100, 0, 100, 10), LIVE);
      assertFalse(
          CONTROLLER
              .decide(state, new VersionCounts(50, 0, 50, 5), VersionCounts.NONE, 99_000)
              .changed());
    }
  }

  /** Tests of {@link LiveMonitor}. */
  public static class Live {
    // Fails if the normal rate of bad answers raises an alarm, or if a long period at that rate
    // delays the alarm after an increase.
    @Test
    public void alarmFollowsTheIncreaseAndNotTheNormalRate() {
      LiveMonitor monitor = new LiveMonitor(0.06);
      for (int i = 0; i < 10_000; i++) {
        assertFalse(monitor.observe(i % 20 == 0));
      }
      int ratings = 0;
      while (!monitor.observe(ratings % 3 == 0)) {
        ratings++;
      }
      assertTrue(ratings < 100, "ratings until the alarm: " + ratings);
    }
  }
}
