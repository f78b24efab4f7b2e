package org.clementinequay.core.lease;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Checks a lease right before each order. A process that was paused and does not know it sees here
 * that its validity is over, because the check reads the monotonic clock and not what a timer did.
 */
public final class LeaseGuard {
  private final String duty;
  private final Supplier<Optional<Lease>> lease;
  private final Duration margin;

  /**
   * Creates a guard.
   *
   * @param lease returns the lease as it stands, such as {@link LeaseCandidate#lease}
   * @param margin validity that must remain; covers the time from the check until the order leaves
   */
  public LeaseGuard(String duty, Supplier<Optional<Lease>> lease, Duration margin) {
    this.duty = Objects.requireNonNull(duty);
    this.lease = Objects.requireNonNull(lease);
    this.margin = Objects.requireNonNull(margin);
  }

  /**
   * Returns the lease if an order may be sent now.
   *
   * @throws LeaseNotHeldException if it is not held or too little validity remains
   */
  public Lease check() throws LeaseNotHeldException {
    Lease held =
        lease.get().orElseThrow(() -> new LeaseNotHeldException("lease " + duty + " is not held"));
    Duration remaining = held.remaining();
    if (remaining.compareTo(margin) < 0) {
      throw new LeaseNotHeldException(
          "lease " + duty + " is valid for another " + remaining.toMillis() + " ms only");
    }
    return held;
  }
}
