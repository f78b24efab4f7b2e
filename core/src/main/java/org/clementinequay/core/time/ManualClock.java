package org.clementinequay.core.time;

import java.time.Duration;
import java.time.Instant;

/**
 * Clock for tests that advances only on request; {@link #sleep} advances it and returns at once.
 * Thread-safe.
 */
public final class ManualClock implements RuntimeClock {
  private final Instant start;
  private long elapsedNanos;

  /** Creates a clock with the given wall-clock time and a monotonic reading of 0. */
  public ManualClock(Instant start) {
    this.start = start;
  }

  /**
   * Advances both the wall-clock time and the monotonic reading.
   *
   * @throws IllegalArgumentException if the duration is negative
   */
  public synchronized void advance(Duration duration) {
    if (duration.isNegative()) {
      throw new IllegalArgumentException("negative duration: " + duration);
    }
    elapsedNanos += duration.toNanos();
  }

  @Override
  public synchronized Instant now() {
    return start.plusNanos(elapsedNanos);
  }

  @Override
  public synchronized long nanoTime() {
    return elapsedNanos;
  }

  @Override
  public void sleep(Duration duration) {
    advance(duration);
  }
}
