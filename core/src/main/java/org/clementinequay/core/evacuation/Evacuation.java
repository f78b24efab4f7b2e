package org.clementinequay.core.evacuation;

/**
 * An operator's order that the upstreams of a failure domain get no new requests.
 *
 * @param domain name of the failure domain
 * @param revision revision of the store at which the order was written
 */
public record Evacuation(String domain, long revision) {}
