package org.clementinequay.core.lease;

import java.util.Objects;
import java.util.Set;

/**
 * An order to an upstream. It contains the target state and not a change, so a repeated or late
 * order of the same holder is harmless.
 *
 * @param orderId unique id of the order
 * @param fencingNumber fencing number of the holder that sends it
 * @param versions versions that the upstream must have loaded, as {@code model@version}
 */
public record Order(String orderId, long fencingNumber, Set<String> versions) {
  /** Stores an unmodifiable copy of the versions. */
  public Order {
    Objects.requireNonNull(orderId);
    versions = Set.copyOf(versions);
  }
}
