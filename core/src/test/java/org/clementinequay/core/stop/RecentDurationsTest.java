package org.clementinequay.core.stop;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the usual duration of requests. */
public class RecentDurationsTest {
  /** Requests of one kind. */
  public static class OneKind {
    private RecentDurations durations;

    @BeforeMethod
    public void start() {
      durations = new RecentDurations();
    }

    private void record(int count, long millis) {
      for (int i = 0; i < count; i++) {
        durations.record("k", Duration.ofMillis(millis));
      }
    }

    @Test
    public void usualDurationCoversMostRequests() {
      record(RecentDurations.MIN_SAMPLES - 1, 100);
      assertEquals(durations.usual("k"), Optional.empty());
      record(1, 100);
      assertEquals(durations.usual("k"), Optional.of(Duration.ofMillis(100)));
      record(36, 100);
      record(4, 900);
      assertEquals(durations.usual("k"), Optional.of(Duration.ofMillis(100)));
      record(4, 900);
      assertEquals(durations.usual("k"), Optional.of(Duration.ofMillis(900)));
    }

    // Guards against an estimate that keeps durations of long ago.
    @Test
    public void oldDurationsYield() {
      record(RecentDurations.SAMPLES, 100);
      record(RecentDurations.SAMPLES, 5000);
      assertEquals(durations.usual("k"), Optional.of(Duration.ofMillis(5000)));
    }
  }

  /** Requests of many kinds, for instance of routes that come and go. */
  public static class ManyKinds {
    @Test
    public void areBounded() {
      RecentDurations durations = new RecentDurations();
      for (int i = 0; i <= RecentDurations.MAX_KINDS; i++) {
        for (int j = 0; j < RecentDurations.MIN_SAMPLES; j++) {
          durations.record("k" + i, Duration.ofMillis(1));
        }
      }
      assertFalse(durations.usual("k0").isPresent());
      assertTrue(durations.usual("k" + RecentDurations.MAX_KINDS).isPresent());
    }
  }
}
