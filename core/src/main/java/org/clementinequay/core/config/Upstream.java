package org.clementinequay.core.config;

import java.util.List;

/**
 * A back end to which requests are sent.
 *
 * @param name name, unique among the upstreams
 * @param kind whether it serves model versions or routes
 * @param address IP address and port, {@code host:port}
 * @param domain failure domain
 * @param serves versions as {@code model@version} for an engine, route names for a service
 * @param slots number of requests that it can run concurrently without slowing down
 * @param checksFencing whether it rejects an order that has an outdated fencing number
 */
public record Upstream(
    String name,
    UpstreamKind kind,
    String address,
    String domain,
    List<String> serves,
    int slots,
    boolean checksFencing) {
  /** Copies the list of served names. */
  public Upstream {
    serves = List.copyOf(serves);
  }
}
