package org.clementinequay.core.lease;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Checks the lease immediately before each order. The check reads the monotonic clock and does not
 * depend on a timer, so it detects that the lease expired while the process was paused unnoticed.
 */
public final class LeaseGuard {
  private final String duty;
  private final Supplier<Optional<Lease>> leaseSupplier;
  private final Duration margin;

  /**
   * Creates a guard.
   *
   * @param leaseSupplier returns the current lease, such as {@link LeaseCandidate#lease}
   * @param margin minimum remaining validity; covers the time from the check until the order is
   *     sent
   */
  public LeaseGuard(String duty, Supplier<Optional<Lease>> leaseSupplier, Duration margin) {
    this.duty = Objects.requireNonNull(duty);
    this.leaseSupplier = Objects.requireNonNull(leaseSupplier);
    this.margin = Objects.requireNonNull(margin);
  }

  /**
   * Returns the lease if an order may be sent now.
   *
   * @throws LeaseNotHeldException if the lease is not held or its remaining validity is below the
   *     margin
   */
  public Lease check() throws LeaseNotHeldException {
    Lease heldLease =
        leaseSupplier
            .get()
            .orElseThrow(() -> new LeaseNotHeldException("lease " + duty + " is not held"));
    Duration remaining = heldLease.remaining();
    if (remaining.compareTo(margin) < 0) {
      throw new LeaseNotHeldException(
          "lease "
              + duty
              + " expires in "
              + remaining.toMillis()
              + " ms, which is below the margin");
    }
    return heldLease;
  }
}
