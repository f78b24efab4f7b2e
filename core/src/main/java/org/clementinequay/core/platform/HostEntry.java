package org.clementinequay.core.platform;

/**
 * A host in the platform's host list.
 *
 * @param name name of the host
 * @param role {@code entry} for entry hosts, {@code upstream} for upstreams
 * @param domain failure domain
 * @param address IP address and port, {@code host:port}; for entry hosts, of the peer listener
 * @param leaving whether the platform will stop the host soon
 */
public record HostEntry(String name, String role, String domain, String address, boolean leaving) {}
