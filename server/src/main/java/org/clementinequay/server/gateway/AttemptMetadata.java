package org.clementinequay.server.gateway;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the router itself says to an upstream with an attempt.
 *
 * @param instanceId id of the start of the upstream that must answer
 * @param remainingMillis time left for the answer, in milliseconds
 * @param account name of the client account; empty if none was identified
 * @param model model to use; empty if the caller named it
 * @param urgency rank of the request, 0 first; empty for a plain service
 * @param lastEventId last event that the caller has of the stream
 */
public record AttemptMetadata(
    String instanceId,
    long remainingMillis,
    Optional<String> account,
    Optional<String> model,
    OptionalInt urgency,
    OptionalLong lastEventId) {}
