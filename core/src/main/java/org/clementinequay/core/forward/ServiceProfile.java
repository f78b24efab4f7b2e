package org.clementinequay.core.forward;

import java.util.Optional;

/**
 * A service that routes lead to.
 *
 * @param name name of the service
 * @param maxConnections connections that one upstream accepts from all callers together
 * @param engine what its engines have in common; empty for a plain service
 */
public record ServiceProfile(String name, int maxConnections, Optional<EngineProfile> engine) {}
