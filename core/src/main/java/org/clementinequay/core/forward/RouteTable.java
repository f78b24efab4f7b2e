package org.clementinequay.core.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request: among the routes of its host name, the one with the longest prefix
 * of its path. Prefixes end with a slash, so each prefix of the path that ends with one is looked
 * up, longest first; the cost depends on the depth of the path and not on the number of routes.
 */
public final class RouteTable {
  private final List<Route> routes;
  private final Map<String, Map<String, Route>> byHost = new HashMap<>();

  /** Creates a table. */
  public RouteTable(Collection<Route> routes) {
    this.routes = new ArrayList<>(routes);
    this.routes.sort(Comparator.comparing(Route::name));
    for (Route route : this.routes) {
      byHost
          .computeIfAbsent(lower(route.host()), h -> new HashMap<>())
          .put(route.pathPrefix(), route);
    }
  }

  /** Returns all routes, ordered by name. */
  public List<Route> routes() {
    return List.copyOf(routes);
  }

  /**
   * Finds a route.
   *
   * @param host value of the {@code Host} header; a port is ignored
   * @param path path without the query
   */
  public Optional<Route> find(String host, String path) {
    Map<String, Route> prefixes = byHost.get(lower(withoutPort(host)));
    if (prefixes == null) {
      return Optional.empty();
    }
    for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      Route route = prefixes.get(path.substring(0, end + 1));
      if (route != null) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }

  private static String lower(String host) {
    return host.toLowerCase(Locale.ROOT);
  }
}
