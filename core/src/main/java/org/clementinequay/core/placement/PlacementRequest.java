package org.clementinequay.core.placement;

import java.util.OptionalLong;

/**
 * Properties of an attempt that a {@link PlacementPolicy} may use.
 *
 * @param nowNanos monotonic time of the decision in nanoseconds
 * @param priority priority of the request class; 0 is the highest
 * @param remainingMillis time left until the request's deadline, in milliseconds
 * @param promptTokens number of prompt tokens; 0 for a call to a plain service
 * @param completionTokens expected number of generated tokens; 0 for a call to a plain service
 * @param affinityKey hash of the session, or of the prompt prefix if there is no session; requests
 *     with the same key profit from the cache of the same upstream
 */
public record PlacementRequest(
    long nowNanos,
    int priority,
    long remainingMillis,
    int promptTokens,
    int completionTokens,
    OptionalLong affinityKey) {}
