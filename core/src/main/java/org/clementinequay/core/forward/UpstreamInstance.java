package org.clementinequay.core.forward;

/**
 * One start of an upstream, as it registered itself.
 *
 * @param id id of this start; a later start mostly has another one
 * @param service name of its service
 * @param address IP address and port
 * @param domain its failure domain
 * @param version version of its software
 * @param slots requests that it runs at the same time
 * @param leaving whether it will end soon and takes no new work
 * @param startMillis Unix time of its start in milliseconds; 0 if it did not say so
 */
public record UpstreamInstance(
    String id,
    String service,
    String address,
    String domain,
    String version,
    int slots,
    boolean leaving,
    long startMillis) {
  /** Returns whether another entry is the same start of the same process. */
  public boolean isSameProcess(UpstreamInstance other) {
    return id.equals(other.id) && startMillis == other.startMillis && address.equals(other.address);
  }
}
