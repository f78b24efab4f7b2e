package org.clementinequay.core.config;

/**
 * Limits of a client account, enforced over all entry hosts together.
 *
 * @param requestsPerSecond maximum sustained request rate
 * @param burst number of requests above the sustained rate that may arrive at once
 * @param concurrent maximum number of requests in progress at the same time
 */
public record AccountLimits(double requestsPerSecond, int burst, int concurrent) {}
