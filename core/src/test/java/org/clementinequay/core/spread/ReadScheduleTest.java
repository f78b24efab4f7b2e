package org.clementinequay.core.spread;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against hosts that read a store too often, or not when they have to. */
public class ReadScheduleTest {
  private static final long MILLI = 1_000_000L;

  /** Schedule of a host that has read once, at time 0. */
  public static class AfterTheFirstRead {
    private ReadSchedule schedule;

    @BeforeMethod
    public void read() {
      schedule =
          new ReadSchedule(
              Duration.ofMillis(1000),
              Duration.ofMillis(1200),
              Duration.ofMillis(1400),
              new SplittableRandom(3));
      assertEquals(schedule.nanosUntilRead(false, 0), 0);
      schedule.recordRead(0);
    }

    @Test
    public void readerReadsAtItsInterval() {
      assertEquals(schedule.nanosUntilRead(true, 400 * MILLI), 600 * MILLI);
      assertEquals(schedule.nanosUntilRead(true, 1000 * MILLI), 0);
    }

    @Test
    public void readerStandsByWhileAnotherOneReads() {
      assertTrue(schedule.recordConfirmation(900 * MILLI));
      assertFalse(schedule.leads());
      assertStandsBy(900 * MILLI);
      assertFalse(schedule.recordConfirmation(800 * MILLI), "an older read");
      assertStandsBy(900 * MILLI);
    }

    @Test
    public void readerThatTakesOverLeads() {
      schedule.recordConfirmation(900 * MILLI);
      schedule.recordRead(2100 * MILLI);
      assertTrue(schedule.leads());
      assertEquals(schedule.nanosUntilRead(true, 2100 * MILLI), 1000 * MILLI);
      schedule.yieldLead();
      assertStandsBy(2100 * MILLI);
    }

    @Test
    public void readThatEndsAfterANewerOneDoesNotLead() {
      schedule.recordConfirmation(900 * MILLI);
      schedule.recordRead(850 * MILLI);
      assertFalse(schedule.leads());
      assertStandsBy(900 * MILLI);
    }

    private void assertStandsBy(long confirmedNanos) {
      assertTrue(schedule.nanosUntilRead(true, confirmedNanos + 1200 * MILLI - 1) > 0);
      assertEquals(schedule.nanosUntilRead(true, confirmedNanos + 1300 * MILLI), 0);
    }

    @Test
    public void otherHostReadsOnlyWithoutConfirmation() {
      schedule.recordConfirmation(900 * MILLI);
      assertEquals(schedule.nanosUntilRead(false, 1000 * MILLI), 1300 * MILLI);
      assertEquals(schedule.nanosUntilRead(false, 2300 * MILLI), 0);
    }

    @Test
    public void announcedChangeIsReadAtOnce() {
      schedule.recordBehind();
      assertEquals(schedule.nanosUntilRead(false, MILLI), 0);
      schedule.recordRead(2 * MILLI);
      assertTrue(schedule.nanosUntilRead(false, 3 * MILLI) > 0);
    }

    @Test
    public void failuresAreRepeatedAfterAGrowingPause() {
      schedule.recordBehind();
      schedule.recordFailure(0);
      assertEquals(schedule.nanosUntilRead(false, 0), ReadSchedule.INITIAL_BACK_OFF_NANOS);
      schedule.recordFailure(0);
      assertEquals(schedule.nanosUntilRead(false, 0), 2 * ReadSchedule.INITIAL_BACK_OFF_NANOS);
      for (int i = 0; i < 10; i++) {
        schedule.recordFailure(0);
      }
      assertEquals(schedule.nanosUntilRead(false, 0), ReadSchedule.MAX_BACK_OFF_NANOS);
      schedule.recordRead(0);
      schedule.recordBehind();
      assertEquals(schedule.nanosUntilRead(false, 0), 0);
    }
  }
}
