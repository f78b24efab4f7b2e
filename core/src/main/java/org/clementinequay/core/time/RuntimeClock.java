package org.clementinequay.core.time;

import java.time.Duration;
import java.time.Instant;

/**
 * The clock of the runtime. Code that reads or waits for time takes one, so that tests control it.
 */
public interface RuntimeClock {
  /** Returns the wall-clock time; it may jump. */
  Instant now();

  /** Returns a monotonic reading in nanoseconds with an arbitrary origin. */
  long nanoTime();

  /**
   * Blocks the calling thread.
   *
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  void sleep(Duration duration) throws InterruptedException;
}
