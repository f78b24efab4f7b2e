package org.clementinequay.core.config;

/**
 * A call that callers can make to a plain service.
 *
 * @param name name in the path of the caller's request
 * @param idempotent whether the call may be executed more than once
 * @param timeoutMillis maximum duration of one attempt, in milliseconds
 * @param costMicros price of one call, in millionths of the billing unit
 */
public record Route(String name, boolean idempotent, long timeoutMillis, long costMicros) {}
