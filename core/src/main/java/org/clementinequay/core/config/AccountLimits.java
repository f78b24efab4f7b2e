package org.clementinequay.core.config;

/**
 * Limits of a client account over all entry hosts.
 *
 * @param requestsPerSecond sustained rate of requests
 * @param burst requests above the rate that may arrive at once
 * @param concurrent requests in progress at the same time
 */
public record AccountLimits(double requestsPerSecond, int burst, int concurrent) {}
