package org.clementinequay.server.gateway;

import org.eclipse.jetty.http.HttpFields;

/**
 * HTTP request of an attempt as it is sent to an upstream.
 *
 * @param address IP address and port of the upstream
 * @param pathQuery path and query, sent unchanged
 * @param newConnection whether to open a new connection: a pooled one can close while the request
 *     is sent, and then it is unknown whether the request ran
 * @param idleTimeoutMillis time without a byte after which the connection is considered dead
 */
public record OutboundRequest(
    String address,
    String method,
    String pathQuery,
    HttpFields headers,
    byte[] body,
    boolean newConnection,
    long idleTimeoutMillis) {}
