package org.clementinequay.server.peer;

import java.util.concurrent.Callable;
import org.testng.Assert;

/** Waits for conditions; the limit is long so that a busy machine does not fail a test. */
final class Await {
  private static final long TIMEOUT_NANOS = 60_000_000_000L;
  private static final long POLL_INTERVAL_MILLIS = 5;

  private Await() {}

  static void until(String description, Callable<Boolean> condition) throws Exception {
    long start = System.nanoTime();
    while (!condition.call()) {
      if (System.nanoTime() - start > TIMEOUT_NANOS) {
        Assert.fail("timed out waiting for: " + description);
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }
}
