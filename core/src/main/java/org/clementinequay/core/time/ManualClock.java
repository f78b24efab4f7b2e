package org.clementinequay.core.time;

import java.time.Duration;
import java.time.Instant;

/** A clock that moves only when told to; {@link #sleep} advances it at once. For tests. */
public final class ManualClock implements RuntimeClock {
  private final Instant start;
  private long elapsedNanos;

  /** Creates a clock that stands at the given wall-clock time. */
  public ManualClock(Instant start) {
    this.start = start;
  }

  /** Moves the clock forward. */
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
