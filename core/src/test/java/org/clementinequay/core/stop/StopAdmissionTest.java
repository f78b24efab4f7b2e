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
      new StopSchedule(
          Duration.ofMillis(2800),
          Duration.ofMillis(2500),
          Duration.ofMillis(7300),
          Duration.ofMillis(7500));

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

    /** Returns whether a request that is received now is passed on. */
    boolean admits(long limitMillis, Optional<Duration> usual) {
      return admits(clock.nanoTime(), limitMillis, usual);
    }

    boolean admits(long receivedNanos, long limitMillis, Optional<Duration> usual) {
      Duration limit = Duration.ofMillis(limitMillis);
      return admission.admits(clock.nanoTime(), receivedNanos, limit, usual);
    }
  }

  /** Requests while new connections are accepted. */
  public static class WhileAccepting extends Stop {
    // Guards against streams that are passed on although the host will not live to their end.
    @Test
    public void longStreamsAreRefused() {
      assertTrue(admits(25_000, millis(7299)));
      assertFalse(admits(25_000, millis(7300)));
      clock.advance(Duration.ofMillis(2100));
      assertTrue(admits(25_000, millis(5199)));
      assertFalse(admits(25_000, millis(5200)));
    }

    @Test
    public void streamsOfUnknownDurationArePassedOn() {
      assertTrue(admits(25_000, Optional.empty()));
    }
  }

  /** Requests that were received in time and are sent, or sent again, later. */
  public static class ReceivedInTime extends Stop {
    // Guards against a retry that is not made although it usually ends in time.
    @Test
    public void areSentAgainWhileTheUsualTimeIsLeft() {
      long received = clock.nanoTime();
      clock.advance(Duration.ofSeconds(6));
      assertTrue(admits(received, 25_000, millis(1200)));
      assertFalse(admits(received, 25_000, millis(1300)));
    }

    @Test
    public void areNotSentAtTheEnd() {
      long received = clock.nanoTime();
      clock.advance(SCHEDULE.end());
      assertFalse(admits(received, 25_000, Optional.empty()));
    }
  }

  /** Requests whose body ends late. */
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
