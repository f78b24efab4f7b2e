package org.clementinequay.server.gateway;

import org.eclipse.jetty.http.HttpFields;

/**
 * Request of an attempt as it goes to an upstream.
 *
 * @param address IP address and port of the upstream
 * @param pathQuery path and query, sent unchanged
 * @param once whether the connection must be a new one: a kept connection can close as the request
 *     is sent, and then nobody knows whether it ran
 * @param silenceMillis time without a byte after which the connection is taken for dead
 */
public record OutboundRequest(
    String address,
    String method,
    String pathQuery,
    HttpFields headers,
    byte[] body,
    boolean newConnection,
    long idleTimeoutMillis) {}
