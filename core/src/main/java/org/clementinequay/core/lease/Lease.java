package org.clementinequay.core.lease;

import java.time.Duration;
import java.util.Objects;
import org.clementinequay.core.time.RuntimeClock;

/**
 * A lease as its holder knows it. Its validity runs on the holder's monotonic clock from before the
 * renewal was sent, so that it ends before any candidate's wait, no matter how wall clocks are set.
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

  /** Returns the duty. */
  public String duty() {
    return duty;
  }

  /** Returns the number that orders carry; a later holder has a greater one. */
  public long fencingNumber() {
    return fencingNumber;
  }

  /** Returns the validity that remains; zero once it is over. */
  public Duration remaining() {
    return Duration.ofNanos(Math.max(0, validUntilNanos - clock.nanoTime()));
  }

  /** Returns how long this process has held the lease under this fencing number. */
  public Duration heldFor() {
    return Duration.ofNanos(Math.max(0, clock.nanoTime() - heldSinceNanos));
  }

  Lease renewedUntil(long newValidUntilNanos) {
    return new Lease(duty, fencingNumber, heldSinceNanos, newValidUntilNanos, clock);
  }
}
