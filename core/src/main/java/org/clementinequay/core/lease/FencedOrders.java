package org.clementinequay.core.lease;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import java.util.function.Supplier;
import org.clementinequay.core.config.Upstream;

/**
 * Sends orders that bring upstreams to a target state while this process holds a lease. Upstreams
 * that check fencing numbers refuse orders of a former holder themselves. For the others, a new
 * holder waits until every order of a former holder has arrived or timed out; then it reads the
 * state back and corrects it.
 */
public final class FencedOrders {
  /** Time after which the sender stops waiting for the answer to an order. */
  public static final Duration ORDER_TIMEOUT = Duration.ofSeconds(5);

  /**
   * Maximum time from sending an order until it can no longer take effect: the sender's timeout
   * plus the same time for an order that waits in the upstream's queue.
   */
  public static final Duration MAX_ORDER_DURATION = ORDER_TIMEOUT.multipliedBy(2);

  private final LeaseGuard guard;
  private final OrderPort port;
  private final Supplier<String> orderIds;

  /**
   * Creates the sender of orders for one duty.
   *
   * @param guard checks the lease of the duty before each order
   * @param port sends the orders
   * @param orderIds supplies a new unique id for each order
   */
  public FencedOrders(LeaseGuard guard, OrderPort port, Supplier<String> orderIds) {
    this.guard = Objects.requireNonNull(guard);
    this.port = Objects.requireNonNull(port);
    this.orderIds = Objects.requireNonNull(orderIds);
  }

  /** Result of {@link #reconcile}. */
  public enum Result {
    /** An order of a former holder may still take effect; the caller retries later. */
    WAITING,
    /** The upstream is in the target state. */
    IN_TARGET_STATE,
    /** An order was sent; the caller reads the state back later. */
    ORDERED,
    /** The upstream has received an order of a later holder; this process must not send orders. */
    REFUSED
  }

  /**
   * Compares the state of an upstream with its target and sends an order if they differ.
   *
   * @param target versions that the upstream must have loaded
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
    // Reading the state may have taken long, so the lease is checked again right before the order.
    Lease currentLease = guard.check();
    if (currentLease.fencingNumber() != lease.fencingNumber()) {
      return Result.WAITING;
    }
    Order order = new Order(orderIds.get(), currentLease.fencingNumber(), target);
    return port.send(upstream, order) ? Result.ORDERED : Result.REFUSED;
  }
}
