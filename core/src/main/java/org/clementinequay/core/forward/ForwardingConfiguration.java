package org.clementinequay.core.forward;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the routes, services, accounts and limits that the operator set. Immutable. */
public final class ForwardingConfiguration {
  private final long version;
  private final RouteTable routes;
  private final Map<String, ServiceProfile> services = new HashMap<>();
  private final List<AccountKeys> accounts;
  private final Optional<Map<String, AccountKeys>> accountsByKey;
  private final CallerLimits limits;

  /**
   * Creates a configuration.
   *
   * @param version number of the configuration; a later one has a greater number
   * @param accounts client accounts; empty if requests need no API key on any route
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
    this.accounts = accounts.map(List::copyOf).orElse(List.of());
    this.accountsByKey = accounts.map(ForwardingConfiguration::indexByKey);
    this.limits = limits;
  }

  private static Map<String, AccountKeys> indexByKey(List<AccountKeys> accounts) {
    Map<String, AccountKeys> result = new HashMap<>();
    for (AccountKeys account : accounts) {
      account.apiKeys().forEach(key -> result.put(key, account));
    }
    return result;
  }

  /** Returns the number of this version; a later version has a greater number. */
  public long version() {
    return version;
  }

  public RouteTable routes() {
    return routes;
  }

  /** Returns the service with the name; empty if no such service is configured. */
  public Optional<ServiceProfile> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns all services, ordered by name. */
  public List<ServiceProfile> services() {
    return services.values().stream().sorted(Comparator.comparing(ServiceProfile::name)).toList();
  }

  /** Returns whether requests need an API key on routes without anonymous access. */
  public boolean requiresApiKeys() {
    return accountsByKey.isPresent();
  }

  /** Returns all client accounts; empty if no keys are required. */
  public List<AccountKeys> accounts() {
    return accounts;
  }

  /** Returns the account of an API key; empty if the key is unknown or no keys are required. */
  public Optional<AccountKeys> account(String apiKey) {
    return accountsByKey.map(accounts -> accounts.get(apiKey));
  }

  /** Returns the limits of callers' requests and connections. */
  public CallerLimits limits() {
    return limits;
  }
}
