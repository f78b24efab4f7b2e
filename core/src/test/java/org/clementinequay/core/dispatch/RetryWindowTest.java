package org.clementinequay.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against more retries than the deployment allows, and against too few in a burst. */
public class RetryWindowTest {
  private static final long SECOND = 1_000_000_000L;

  private RetryWindow window;

  @BeforeMethod
  public void create() {
    window = new RetryWindow(Duration.ofSeconds(10), 0.5, 4);
  }

  private int countRetries(long atNanos, int attempts) {
    int taken = 0;
    for (int i = 0; i < attempts; i++) {
      if (window.tryRetry(atNanos)) {
        taken++;
      }
    }
    return taken;
  }

  @Test
  public void burstMayUseTheWholeWindow() {
    for (int i = 0; i < 20; i++) {
      window.recordRequest(SECOND + i * SECOND / 4);
    }
    assertEquals(countRetries(7 * SECOND, 100), 14);
  }

  @Test
  public void retriesAreAllowedAgainAfterTheWindow() {
    assertEquals(countRetries(SECOND, 100), 4);
    assertEquals(countRetries(10 * SECOND, 100), 0);
    assertEquals(countRetries(12 * SECOND, 100), 4);
  }

  @Test
  public void requestsOfThePreviousWindowCount() {
    for (int i = 0; i < 20; i++) {
      window.recordRequest(SECOND);
    }
    assertTrue(countRetries(15 * SECOND, 100) >= 14);
  }

  // Guards against a ring buffer that keeps old counts after a long time without requests.
  @Test
  public void longPauseClearsTheCounts() {
    for (int i = 0; i < 20; i++) {
      window.recordRequest(SECOND);
    }
    assertEquals(countRetries(1000 * SECOND, 100), 4);
  }
}
