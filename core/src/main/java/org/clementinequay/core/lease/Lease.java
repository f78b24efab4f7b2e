package org.clementinequay.core.lease;

import java.time.Duration;
import java.util.Objects;
import org.clementinequay.core.time.RuntimeClock;

/**
 * A lease on a duty, which is a task that one process at a time performs, from the view of its
 * holder. The validity is measured by the holder's monotonic clock from a time before the renewal
 * was sent. It therefore ends before the waiting time of any candidate does, regardless of wall
 * clocks.
 */
public final class Lease {
  private final String duty;
  private final long fencingNumber;
  private final long heldSinceNanos;
  private final long validUntilNanos;
  private final RuntimeClock clock;

  Lease(
      String duty,
      long fencingNumber,
      long heldSinceNanos,
      long validUntilNanos,
      RuntimeClock clock) {
    this.duty = Objects.requireNonNull(duty);
    this.fencingNumber = fencingNumber;
    this.heldSinceNanos = heldSinceNanos;
    this.validUntilNanos = validUntilNanos;
    this.clock = Objects.requireNonNull(clock);
  }

  public String duty() {
    return duty;
  }

  /** Returns the fencing number that orders carry; it rises with each change of holder. */
  public long fencingNumber() {
    return fencingNumber;
  }

  /** Returns the remaining validity; zero once the lease has expired. */
  public Duration remaining() {
    return Duration.ofNanos(Math.max(0, validUntilNanos - clock.nanoTime()));
  }

  /** Returns the time for which this process has held the lease under this fencing number. */
  public Duration heldFor() {
    return Duration.ofNanos(Math.max(0, clock.nanoTime() - heldSinceNanos));
  }

  Lease renewedUntil(long newValidUntilNanos) {
    return new Lease(duty, fencingNumber, heldSinceNanos, newValidUntilNanos, clock);
  }
}
