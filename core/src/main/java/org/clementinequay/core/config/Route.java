package org.clementinequay.core.config;

/**
 * A call to a plain service.
 *
 * @param name name in the caller's path
 * @param idempotent whether the call may be repeated
 * @param timeoutMillis longest time for one attempt, in milliseconds
 * @param costMicros price of one call, in millionths of the billing unit
 */
public record Route(String name, boolean idempotent, long timeoutMillis, long costMicros) {}
