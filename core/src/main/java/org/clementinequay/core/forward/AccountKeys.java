package org.clementinequay.core.forward;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A client account with the API keys and the priority of its requests.
 *
 * @param name name of the account
 * @param apiKeys keys that authenticate requests of the account
 * @param priority priority of its requests, which overrides that of the route; empty if the route's
 *     applies
 * @param allowedRegions regions in which its requests may be served; empty if all are allowed
 */
public record AccountKeys(
    String name, List<String> apiKeys, OptionalInt priority, Set<String> allowedRegions) {
  /** Stores unmodifiable copies of the collections. */
  public AccountKeys {
    apiKeys = List.copyOf(apiKeys);
    allowedRegions = Set.copyOf(allowedRegions);
  }
}
