package org.clementinequay.core.spread;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against knowledge that seems fresher than it is. */
public class StoreClockTest {
  private static final long MILLI = 1_000_000L;

  private StoreClock clock;

  @BeforeMethod
  public void create() {
    clock = new StoreClock();
  }

  @Test
  public void answerIsDatedByItsTimeAndNotByItsArrival() {
    clock.observe(5000, 100 * MILLI);
    assertEquals(clock.toHostNanos(5700, 3000 * MILLI), 800 * MILLI);
  }

  @Test
  public void answerIsNeverDatedLaterThanNow() {
    clock.observe(5000, 100 * MILLI);
    assertEquals(clock.toHostNanos(9000, 3000 * MILLI), 3000 * MILLI);
  }

  @Test
  public void answerWithoutTimeOrReferenceIsDatedByItsArrival() {
    assertEquals(clock.toHostNanos(5700, 3000 * MILLI), 3000 * MILLI);
    clock.observe(0, 100 * MILLI);
    assertEquals(clock.toHostNanos(5700, 3000 * MILLI), 3000 * MILLI);
    clock.observe(5000, 100 * MILLI);
    assertEquals(clock.toHostNanos(0, 3000 * MILLI), 3000 * MILLI);
  }

  // Guards against a store that starts again with an earlier time.
  @Test
  public void latestAnswerIsTheReference() {
    clock.observe(5000, 100 * MILLI);
    clock.observe(10, 2000 * MILLI);
    assertEquals(clock.toHostNanos(510, 3000 * MILLI), 2500 * MILLI);
  }
}
