package org.clementinequay.core.config;

/**
 * A class of requests that share a priority, a default deadline and a quality target.
 *
 * @param name name that callers send in {@code request_class}
 * @param priority priority, 0 being the highest; under overload, larger numbers are shed first
 * @param deadlineMillis time until the response must be complete if the request specifies no
 *     deadline, in milliseconds
 * @param qualityTarget minimum share of answers, from 0 to 1, that must be rated as good
 */
public record RequestClass(String name, int priority, long deadlineMillis, double qualityTarget) {}
