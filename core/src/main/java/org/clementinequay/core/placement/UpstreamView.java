package org.clementinequay.core.placement;

import java.util.Optional;

/**
 * Snapshot of the data that an entry host has about an upstream when it places a request; made by
 * {@link UpstreamTracker#view}.
 *
 * @param name name of the upstream
 * @param domain failure domain of the upstream
 * @param slots number of requests that the upstream runs concurrently at full speed
 * @param ownOutstanding requests that this host has in progress there
 * @param ownOutstandingTokens expected number of generated tokens of those requests
 * @param ownAtReport requests that this host had in progress there when the last report was
 *     received
 * @param peerOutstanding requests that the other entry hosts announced as in progress there
 * @param peerAtReport value of {@code peerOutstanding} when the last report was received
 * @param report last load report; empty if none was received
 * @param roundTripNanos measured round-trip time from this host to the upstream's domain, in
 *     nanoseconds
 * @param millisPerToken moving average of the time per generated token of one request while the
 *     upstream is not overloaded, in milliseconds; 0 if nothing was measured
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
