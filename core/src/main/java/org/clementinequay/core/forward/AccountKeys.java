package org.clementinequay.core.forward;

import java.util.List;
import java.util.OptionalInt;

/**
 * A client account with the API keys and the priority of its requests.
 *
 * @param name name of the account
 * @param apiKeys keys that authenticate requests of the account
 * @param priority priority of its requests, which overrides that of the route; empty if the route's
 *     applies
 */
public record AccountKeys(String name, List<String> apiKeys, OptionalInt priority) {
  /** Stores an unmodifiable copy of the list. */
  public AccountKeys {
    apiKeys = List.copyOf(apiKeys);
  }
}
