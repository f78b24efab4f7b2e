package org.clementinequay.core.time;

import java.time.Duration;
import java.time.Instant;

/**
 * Source of time. Code that reads the time or waits receives an instance, so that tests can control
 * the time.
 */
public interface RuntimeClock {
  /** Returns the wall-clock time, which may jump forward or back. */
  Instant now();

  /** Returns a monotonic reading in nanoseconds with an arbitrary origin, for intervals only. */
  long nanoTime();

  /**
   * Blocks the calling thread for the given duration.
   *
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  void sleep(Duration duration) throws InterruptedException;
}
