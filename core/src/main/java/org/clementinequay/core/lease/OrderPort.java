package org.clementinequay.core.lease;

import java.util.Set;
import org.clementinequay.core.config.Upstream;

/** Sends orders to upstreams and reads the versions that they have loaded. */
public interface OrderPort {
  /**
   * Returns the versions that an upstream has loaded, as {@code model@version}.
   *
   * @throws OrderFailedException if no answer was received
   */
  Set<String> versions(Upstream upstream) throws OrderFailedException;

  /**
   * Sends an order and waits at most {@link FencedOrders#ORDER_TIMEOUT} for the answer.
   *
   * @return false if the upstream refused the order because of a lower fencing number
   * @throws OrderFailedException if no answer was received; the order may still take effect
   */
  boolean send(Upstream upstream, Order order) throws OrderFailedException;
}
