package org.clementinequay.core.lease;

import java.util.Set;
import org.clementinequay.core.config.Upstream;

/** Sends orders to upstreams. */
public interface OrderPort {
  /**
   * Reads the versions that an upstream has loaded.
   *
   * @throws OrderFailedException if no answer was received
   */
  Set<String> versions(Upstream upstream) throws OrderFailedException;

  /**
   * Sends an order and gives up after {@link FencedOrders#ORDER_TIMEOUT}.
   *
   * @return false if the upstream refused the fencing number as old
   * @throws OrderFailedException if no answer was received; the order may take effect
   */
  boolean send(Upstream upstream, Order order) throws OrderFailedException;
}
