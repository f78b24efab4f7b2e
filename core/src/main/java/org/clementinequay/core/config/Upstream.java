package org.clementinequay.core.config;

import java.util.List;

/**
 * A back end that requests are sent to.
 *
 * @param name unique name
 * @param kind what it serves
 * @param address IP address and port, {@code host:port}
 * @param domain failure domain
 * @param serves versions as {@code model@version} for an engine, route names for a service
 * @param slots number of requests it runs at the same time at full speed
 * @param checksFencing whether it refuses an order with an old fencing number
 */
public record Upstream(
    String name,
    UpstreamKind kind,
    String address,
    String domain,
    List<String> serves,
    int slots,
    boolean checksFencing) {
  /** Copies the list. */
  public Upstream {
    serves = List.copyOf(serves);
  }
}
