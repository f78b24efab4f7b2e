package org.clementinequay.core.forward;

/**
 * Bounds of what a caller may send and how long it may take.
 *
 * @param maxHeaderBytes longest request head
 * @param maxBodyBytes longest request body
 * @param headerTimeoutMillis longest time for a request head
 * @param idleTimeoutMillis longest time that a kept connection may be idle
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
