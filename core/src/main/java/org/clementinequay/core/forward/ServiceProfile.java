package org.clementinequay.core.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * A service to which routes forward requests.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that one upstream accepts from all callers
 *     together
 * @param coldStart time for which an upstream is cold after its start
 * @param coldRequestsPerSecond requests a second that a cold upstream bears; 0 for no limit
 * @param engine shared properties of its engines; empty for a plain service
 */
public record ServiceProfile(
    String name,
    int maxConnections,
    Duration coldStart,
    double coldRequestsPerSecond,
    Optional<EngineProfile> engine) {
  /** Creates a service whose upstreams are never cold. */
  public ServiceProfile(String name, int maxConnections, Optional<EngineProfile> engine) {
    this(name, maxConnections, Duration.ZERO, 0, engine);
  }
}
