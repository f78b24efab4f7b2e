package org.clementinequay.core.ingress;

/**
 * Limits of what a listener holds for its callers.
 *
 * @param maxBytes bytes held for all callers
 * @param maxConnections open connections, also those that are being closed
 * @param maxConnectionsPerAddress open connections of one address
 */
public record IngressLimits(long maxBytes, int maxConnections, int maxConnectionsPerAddress) {
  /** Part of the heap that callers may take; the rest is for the host's state and for answers. */
  private static final double HEAP_FRACTION = 0.4;

  /** Part of the descriptors that callers may take; the rest is for upstreams, peers and files. */
  private static final double DESCRIPTOR_FRACTION = 0.75;

  /** Divisor for the part of the connections that may be open while others are closed for them. */
  private static final int CLOSING_DIVISOR = 16;

  /** Part of the budget for each connection that may be open, in bytes. */
  private static final int MIN_BYTES_PER_CONNECTION = 16 << 10;

  /** Returns the limits of a host with a heap and a number of descriptors. */
  public static IngressLimits ofMachine(long heapBytes, long maxDescriptors) {
    long bytes = (long) (heapBytes * HEAP_FRACTION);
    int connections =
        (int)
            Math.min(
                bytes / MIN_BYTES_PER_CONNECTION, (long) (maxDescriptors * DESCRIPTOR_FRACTION));
    return new IngressLimits(bytes, connections, connections);
  }

  /** Returns these limits with a bound on connections, by address no greater than in all. */
  public IngressLimits withConnections(int all, int perAddress) {
    return new IngressLimits(maxBytes, all, Math.min(all, perAddress));
  }

  /** Returns these limits with a bound on bytes. */
  public IngressLimits withBytes(long bytes) {
    return new IngressLimits(bytes, maxConnections, maxConnectionsPerAddress);
  }

  /** Returns the number of open connections beyond which unused ones are closed for new ones. */
  public int connectionsInUse() {
    return Math.max(1, maxConnections - Math.max(1, maxConnections / CLOSING_DIVISOR));
  }
}
