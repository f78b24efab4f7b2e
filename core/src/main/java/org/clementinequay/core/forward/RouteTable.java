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
 * of its path. Route prefixes end with a slash, so the table looks up every prefix of the path that
 * ends with a slash, longest first. The cost depends on the depth of the path, not on the number of
 * routes.
 */
public final class RouteTable {
  private final List<Route> routes;
  private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();

  /**
   * Creates a table. Of routes with the same host name and prefix, the last one by name is used.
   */
  public RouteTable(Collection<Route> routes) {
    this.routes = new ArrayList<>(routes);
    this.routes.sort(Comparator.comparing(Route::name));
    for (Route route : this.routes) {
      routesByHost
          .computeIfAbsent(lowerCase(route.host()), name -> new HashMap<>())
          .put(route.pathPrefix(), route);
    }
  }

  /** Returns all routes, ordered by name. */
  public List<Route> routes() {
    return List.copyOf(routes);
  }

  /**
   * Finds the route of a request; empty if none matches.
   *
   * @param host value of the {@code Host} header; a port is ignored
   * @param path request path without the query
   */
  public Optional<Route> find(String host, String path) {
    Map<String, Route> routesByPrefix = routesByHost.get(lowerCase(withoutPort(host)));
    if (routesByPrefix == null) {
      return Optional.empty();
    }
    for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      Route route = routesByPrefix.get(path.substring(0, end + 1));
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

  private static String lowerCase(String host) {
    return host.toLowerCase(Locale.ROOT);
  }
}
