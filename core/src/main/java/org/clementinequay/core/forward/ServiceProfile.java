package org.clementinequay.core.forward;

import java.util.Optional;

/**
 * A service to which routes forward requests.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that one upstream accepts from all callers
 *     together
 * @param engine shared properties of its engines; empty for a plain service
 */
public record ServiceProfile(String name, int maxConnections, Optional<EngineProfile> engine) {}
