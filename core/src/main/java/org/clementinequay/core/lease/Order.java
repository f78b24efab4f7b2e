package org.clementinequay.core.lease;

import java.util.Objects;
import java.util.Set;

/**
 * An order to an upstream. It states a target and not a change, so that a repeated or late order of
 * the same holder does no harm.
 *
 * @param orderId unique id
 * @param fencingNumber fencing number of the holder that sends it
 * @param versions versions that the upstream shall have loaded, as {@code model@version}
 */
public record Order(String orderId, long fencingNumber, Set<String> versions) {
  /** Copies the set. */
  public Order {
    Objects.requireNonNull(orderId);
    versions = Set.copyOf(versions);
  }
}
