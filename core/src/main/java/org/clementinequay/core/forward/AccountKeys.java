package org.clementinequay.core.forward;

import java.util.List;
import java.util.OptionalInt;

/**
 * A client account and its API keys.
 *
 * @param name name of the account
 * @param apiKeys keys that identify it
 * @param priority rank of its requests, which goes before the route's; empty if it has none
 */
public record AccountKeys(String name, List<String> apiKeys, OptionalInt priority) {
  /** Copies the list. */
  public AccountKeys {
    apiKeys = List.copyOf(apiKeys);
  }
}
