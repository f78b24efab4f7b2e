package org.clementinequay.server.peer;

import java.util.concurrent.Callable;
import org.testng.Assert;

/** Waits for conditions; the limit is generous, because a busy machine is no failure. */
final class Await {
  private static final long LIMIT_NANOS = 60_000_000_000L;
  private static final long PAUSE_MILLIS = 5;

  private Await() {}

  static void until(String what, Callable<Boolean> condition) throws Exception {
    long start = System.nanoTime();
    while (!condition.call()) {
      if (System.nanoTime() - start > LIMIT_NANOS) {
        Assert.fail("did not happen: " + what);
      }
      Thread.sleep(PAUSE_MILLIS);
    }
  }
}
