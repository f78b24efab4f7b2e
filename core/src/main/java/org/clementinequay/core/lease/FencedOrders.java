package org.clementinequay.core.lease;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import java.util.function.Supplier;
import org.clementinequay.core.config.Upstream;

/**
 * Brings upstreams to a target state under a lease. Upstreams that check fencing numbers refuse a
 * former holder by themselves. For the others, a new holder waits until every order of a former
 * holder has arrived or timed out; then it reads the state back and repairs it.
 */
public final class FencedOrders {
  /** Time after which the sender gives an order up. */
  public static final Duration ORDER_TIMEOUT = Duration.ofSeconds(5);

  /**
   * Longest time from sending an order until it can no longer take effect: the sender's timeout and
   * as much again for an order that waits in the upstream's queue.
   */
  public static final Duration MAX_ORDER_DURATION = ORDER_TIMEOUT.multipliedBy(2);

  private final LeaseGuard guard;
  private final OrderPort port;
  private final Supplier<String> orderIds;

  /**
   * Creates the rule for one duty.
   *
   * @param orderIds returns a new unique id for each order
   */
  public FencedOrders(LeaseGuard guard, OrderPort port, Supplier<String> orderIds) {
    this.guard = Objects.requireNonNull(guard);
    this.port = Objects.requireNonNull(port);
    this.orderIds = Objects.requireNonNull(orderIds);
  }

  /** Result of {@link #reconcile}. */
  public enum Result {
    /** An order of a former holder may still arrive; try again later. */
    WAITING,
    /** The upstream is in the target state. */
    IN_TARGET_STATE,
    /** An order was sent; read the state back later. */
    ORDERED,
    /** The upstream has seen a later holder; this process must not send orders. */
    REFUSED
  }

  /**
   * Compares an upstream with its target and sends an order if they differ.
   *
   * @param target versions that the upstream shall have loaded
   * @throws LeaseNotHeldException if the lease is not held; nothing was sent
   * @throws OrderFailedException if the upstream did not answer
   */
  public Result reconcile(Upstream upstream, Set<String> target)
      throws LeaseNotHeldException, OrderFailedException {
    Lease lease = guard.check();
    if (!upstream.checksFencing() && lease.heldFor().compareTo(MAX_ORDER_DURATION) < 0) {
      return Result.WAITING;
    }
    if (port.versions(upstream).equals(target)) {
      return Result.IN_TARGET_STATE;
    }
    // The reading may have taken long, so the validity is checked again right before the order.
    Lease now = guard.check();
    if (now.fencingNumber() != lease.fencingNumber()) {
      return Result.WAITING;
    }
    Order order = new Order(orderIds.get(), now.fencingNumber(), target);
    return port.send(upstream, order) ? Result.ORDERED : Result.REFUSED;
  }
}
