package org.clementinequay.core.placement;

import java.util.Optional;

/**
 * What an entry host knows of an upstream at the time of a decision; made by {@link
 * UpstreamTracker#view}.
 *
 * @param name name of the upstream
 * @param domain failure domain of the upstream
 * @param slots requests that it runs at the same time at full speed
 * @param ownOutstanding requests that this host has in progress there
 * @param ownOutstandingTokens tokens expected of those requests
 * @param ownAtReport requests that this host had in progress there when the last report was made
 * @param peerOutstanding requests that the other entry hosts said they have in progress there
 * @param peerAtReport value of {@code peerOutstanding} when the last report was received
 * @param report last load report, if there was one
 * @param roundTripNanos measured round-trip time from this host to the upstream's domain
 * @param millisPerToken learned time for one generated token of one request while the upstream is
 *     not overloaded, in milliseconds; 0 if nothing was learned
 */
public record UpstreamView(
    String name,
    String domain,
    int slots,
    int ownOutstanding,
    double ownOutstandingTokens,
    int ownAtReport,
    int peerOutstanding,
    int peerAtReport,
    Optional<LoadReport> report,
    long roundTripNanos,
    double millisPerToken) {}
