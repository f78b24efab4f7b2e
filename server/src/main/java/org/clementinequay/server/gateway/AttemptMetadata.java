package org.clementinequay.server.gateway;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Values that the router adds to an attempt for the upstream.
 *
 * @param instanceId id of the upstream process that must respond; usually differs after a restart
 * @param remainingMillis time left for the response, in milliseconds
 * @param account name of the client account; empty if none was identified
 * @param model model that the router chose; empty if the caller chose it
 * @param urgency priority of the request, 0 is the most urgent; empty for a plain service
 * @param lastEventId id of the last event of the stream that the caller already has
 */
public record AttemptMetadata(
    String instanceId,
    long remainingMillis,
    Optional<String> account,
    Optional<String> model,
    OptionalInt urgency,
    OptionalLong lastEventId) {}
