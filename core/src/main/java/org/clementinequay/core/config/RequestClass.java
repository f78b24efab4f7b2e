package org.clementinequay.core.config;

/**
 * A class of requests with common priority and targets.
 *
 * @param name name that callers send in {@code request_class}
 * @param priority 0 is the highest; larger numbers are shed first
 * @param deadlineMillis time for the whole answer if the caller states none, in milliseconds
 * @param qualityTarget least share of answers, from 0 to 1, that must be rated as good
 */
public record RequestClass(String name, int priority, long deadlineMillis, double qualityTarget) {}
