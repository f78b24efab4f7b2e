package org.clementinequay.core.stop;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the times of a graceful stop. */
public class StopScheduleTest {
  /** Grace periods of any length. */
  public static class GracePeriods {
    @DataProvider
    public Object[][] graceMillis() {
      return new Object[][] {{0L}, {1L}, {900L}, {3000L}, {8000L}, {30_000L}, {600_000L}};
    }

    // Guards against times that hold for one grace period only: a margin longer than the period
    // would end requests at once.
    @Test(dataProvider = "graceMillis")
    public void keepTheTimesInOrder(long millis) {
      Duration grace = Duration.ofMillis(millis);
      StopSchedule schedule = StopSchedule.forGracePeriod(grace);
      assertTrue(!schedule.certainty().isNegative());
      assertTrue(schedule.certainty().compareTo(schedule.acceptance()) <= 0);
      assertTrue(schedule.acceptance().compareTo(schedule.end()) <= 0);
      assertTrue(schedule.end().compareTo(schedule.exit()) <= 0);
      assertTrue(schedule.exit().compareTo(grace) <= 0);
    }

    // Guards against requests that are ended while the excuse for unfinished work does not hold
    // yet: they may be broken off in the last sixth of the grace period only.
    @Test(dataProvider = "graceMillis")
    public void endRequestsInTheLastSixth(long millis) {
      Duration grace = Duration.ofMillis(millis);
      assertTrue(
          StopSchedule.forGracePeriod(grace).end().multipliedBy(6).compareTo(grace.multipliedBy(5))
              >= 0);
    }

    // Guards against streams that are received later than 3 s after the signal and broken off, by a
    // host that has noticed the signal a second late (HostStopSoakTest, seed 510).
    @Test
    public void requireCertaintyASecondBeforeTheExcuseEnds() {
      StopSchedule schedule = StopSchedule.forGracePeriod(Duration.ofSeconds(8));
      assertTrue(schedule.certainty().compareTo(Duration.ofSeconds(2)) <= 0);
    }

    @Test
    public void acceptConnectionsUntilTheLoadBalancerSendsNone() {
      StopSchedule schedule = StopSchedule.forGracePeriod(Duration.ofSeconds(8));
      assertTrue(schedule.acceptance().compareTo(Duration.ofMillis(2500)) >= 0);
      assertTrue(schedule.acceptance().compareTo(Duration.ofSeconds(3)) < 0);
      assertEquals(schedule.end(), Duration.ofMillis(7300));
    }

    @Test
    public void negativeOnesAreRejected() {
      assertThrows(
          IllegalArgumentException.class, () -> StopSchedule.forGracePeriod(Duration.ofMillis(-1)));
    }
  }
}
