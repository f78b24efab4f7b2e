package org.clementinequay.core.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of what the operator wants forwarded where, and for whom. Immutable. */
public final class ForwardingConfiguration {
  private final long version;
  private final RouteTable routes;
  private final Map<String, ServiceProfile> services = new HashMap<>();
  private final Optional<Map<String, AccountKeys>> accountsByKey;
  private final CallerLimits limits;

  /**
   * Creates a version.
   *
   * @param accounts empty if requests need no key at all
   */
  public ForwardingConfiguration(
      long version,
      RouteTable routes,
      Collection<ServiceProfile> services,
      Optional<List<AccountKeys>> accounts,
      CallerLimits limits) {
    this.version = version;
    this.routes = routes;
    services.forEach(service -> this.services.put(service.name(), service));
    this.accountsByKey = accounts.map(ForwardingConfiguration::byKey);
    this.limits = limits;
  }

  private static Map<String, AccountKeys> byKey(List<AccountKeys> accounts) {
    Map<String, AccountKeys> result = new HashMap<>();
    for (AccountKeys account : accounts) {
      account.apiKeys().forEach(key -> result.put(key, account));
    }
    return result;
  }

  /** Returns the number of this version; later versions have greater ones. */
  public long version() {
    return version;
  }

  /** Returns the routes. */
  public RouteTable routes() {
    return routes;
  }

  /** Returns a service. */
  public Optional<ServiceProfile> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns whether requests on routes that are not open need a key. */
  public boolean requiresApiKeys() {
    return accountsByKey.isPresent();
  }

  /** Returns the account that holds a key. */
  public Optional<AccountKeys> account(String apiKey) {
    return accountsByKey.map(accounts -> accounts.get(apiKey));
  }

  /** Returns the bounds on callers. */
  public CallerLimits limits() {
    return limits;
  }
}
