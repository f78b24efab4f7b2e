package org.clementinequay.core.forward;

/**
 * Size and time limits of requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of a request head
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeoutMillis maximum time until a request head is complete
 * @param idleTimeoutMillis maximum idle time of a persistent connection
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
