package org.clementinequay.core.stop;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.clementinequay.core.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which requests a stopping host passes on. */
public class StopAdmissionTest {
  private static final StopSchedule SCHEDULE =
      new StopSchedule(Duration.ofMillis(2800), Duration.ofMillis(2500), Duration.ofMillis(7300));

  private static Optional<Duration> millis(long value) {
    return Optional.of(Duration.ofMillis(value));
  }

  /** A stop at some time of the clock. */
  public abstract static class Stop {
    final ManualClock clock = new ManualClock(Instant.EPOCH);
    StopAdmission admission;

    @BeforeMethod
    public void start() {
      clock.advance(Duration.ofSeconds(1));
      admission = new StopAdmission(SCHEDULE, clock.nanoTime());
    }

    boolean admits(long limitMillis, Optional<Duration> usual) {
      return admission.admits(clock.nanoTime(), Duration.ofMillis(limitMillis), usual);
    }
  }

  /** Requests while new connections are accepted. */
  public static class WhileAccepting extends Stop {
    // Guards against streams that are passed on although the host will not live to their end.
    @Test
    public void longStreamsAreRefused() {
      assertTrue(admits(25_000, millis(7300)));
      assertFalse(admits(25_000, millis(7301)));
      clock.advance(Duration.ofMillis(2100));
      assertTrue(admits(25_000, millis(5200)));
      assertFalse(admits(25_000, millis(5201)));
    }

    @Test
    public void streamsOfUnknownDurationArePassedOn() {
      assertTrue(admits(25_000, Optional.empty()));
    }
  }

  /** Requests whose body ends late, or that wait for an upstream. */
  public static class Late extends Stop {
    @DataProvider
    public Object[][] afterStopMillis() {
      return new Object[][] {{2500L}, {2999L}, {3800L}, {7299L}, {9000L}};
    }

    // Guards against requests that are sent too late for the excuse, and cut at the end (LOST).
    @Test(dataProvider = "afterStopMillis")
    public void streamsThatMayOutliveTheHostAreRefused(long millis) {
      clock.advance(Duration.ofMillis(millis));
      assertFalse(admits(25_000, millis(1)));
      assertFalse(admits(25_000, Optional.empty()));
    }

    // Guards against short calls that are refused although they end in time.
    @Test(dataProvider = "afterStopMillis")
    public void callsThatEndBeforeTheHostArePassedOn(long millis) {
      clock.advance(Duration.ofMillis(millis));
      assertEquals(admits(1500, Optional.empty()), millis + 1500 <= 7300);
    }
  }
}
