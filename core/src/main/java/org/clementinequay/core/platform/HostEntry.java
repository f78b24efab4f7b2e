package org.clementinequay.core.platform;

/**
 * A host in the platform's list.
 *
 * @param name name of the host
 * @param role {@code entry} for entry hosts, {@code upstream} for upstreams
 * @param domain failure domain
 * @param address IP address and port, {@code host:port}; the peer listener for entry hosts
 * @param leaving whether the platform is about to stop the host
 */
public record HostEntry(String name, String role, String domain, String address, boolean leaving) {}
