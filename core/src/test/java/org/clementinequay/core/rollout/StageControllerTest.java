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
    // Guards against a stage that ends before the ratings of its answers can have arrived.
    @Test
    public void stageNeedsBothTimeAndRatings() {
      VersionCounts good = new VersionCounts(200, 0, 200, 8);
      assertFalse(CONTROLLER.decide(START, good, LIVE, 59_000).changed());
      assertFalse(
          CONTROLLER.decide(START, new VersionCounts(50, 0, 50, 2), LIVE, 900_000).changed());
      assertEquals(CONTROLLER.decide(START, good, LIVE, 60_000).state().stage(), 1);
    }

    // Guards against a bad version that is kept until the stage's ratings are complete.
    @Test
    public void badVersionIsStoppedAtOnce() {
      VersionCounts bad = new VersionCounts(60, 0, 60, 30);
      StageDecision decision = CONTROLLER.decide(START, bad, LIVE, 5_000);
      assertEquals(decision.state().status(), RolloutState.Status.STOPPED);
      assertEquals(StageController.share(decision.state()), 0.0);
    }

    // Guards against ratings alone being watched while the version fails.
    @Test
    public void errorsStopToo() {
      VersionCounts failing = new VersionCounts(100, 20, 80, 4);
      assertEquals(
          CONTROLLER.decide(START, failing, LIVE, 5_000).state().status(),
          RolloutState.Status.STOPPED);
    }

    // Guards against a new lease holder that restarts the roll-out or forgets a stop.
    @Test
    public void resumesFromTheRowAlone() {
      VersionCounts good = new VersionCounts(200, 0, 200, 8);
      RolloutState raised = CONTROLLER.decide(START, good, LIVE, 60_000).state();
      RolloutState resumed = RolloutState.parse(raised.encode());
      assertEquals(resumed, raised);
      RolloutState stopped =
          CONTROLLER
              .decide(resumed, good.plus(new VersionCounts(90, 0, 90, 60)), LIVE.plus(LIVE), 70_000)
              .state();
      RolloutState again = RolloutState.parse(stopped.encode());
      assertFalse(CONTROLLER.decide(again, good, LIVE, 999_000).changed());
    }

    // Guards against negative evidence when a lost host takes its counters along.
    @Test
    public void shrinkingCountsAreNotNegative() {
      RolloutState state = RolloutState.begin(0, new VersionCounts(100, 0, 100, 10), LIVE);
      assertFalse(
          CONTROLLER
              .decide(state, new VersionCounts(50, 0, 50, 5), VersionCounts.NONE, 99_000)
              .changed());
    }
  }

  /** Tests of {@link LiveMonitor}. */
  public static class Live {
    // Guards against alarms on the normal rate, and against a long good time that hides a turn.
    @Test
    public void alarmFollowsTheTurnAndNotTheNormalRate() {
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
