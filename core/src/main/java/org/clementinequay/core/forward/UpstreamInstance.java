package org.clementinequay.core.forward;

/**
 * One process of an upstream, as it registered itself.
 *
 * @param id id of the process; usually differs after a restart
 * @param service name of its service
 * @param address IP address and port
 * @param domain failure domain
 * @param version software version
 * @param slots requests that it runs concurrently
 * @param leaving whether it will stop soon and accepts no new requests
 * @param startMillis start time as Unix time in milliseconds; {@link #START_UNKNOWN} if the entry
 *     does not tell
 * @param coldMillis how long it stays cold from the time of the entry on, in milliseconds; {@link
 *     #COLD_UNKNOWN} if the entry does not tell
 */
public record UpstreamInstance(
    String id,
    String service,
    String address,
    String domain,
    String version,
    int slots,
    boolean leaving,
    long startMillis,
    long coldMillis) {
  /** Value of {@code coldMillis} if the entry does not tell. */
  public static final long COLD_UNKNOWN = -1;

  /** Value of {@code startMillis} if the entry does not tell. */
  public static final long START_UNKNOWN = 0;

  /** Creates an entry that does not tell how long the upstream stays cold. */
  public UpstreamInstance(
      String id,
      String service,
      String address,
      String domain,
      String version,
      int slots,
      boolean leaving,
      long startMillis) {
    this(id, service, address, domain, version, slots, leaving, startMillis, COLD_UNKNOWN);
  }

  /** Returns this entry for an upstream that is leaving. */
  public UpstreamInstance asLeaving() {
    return new UpstreamInstance(
        id, service, address, domain, version, slots, true, startMillis, coldMillis);
  }

  /** Returns whether the other entry describes the same process, not an earlier or later one. */
  public boolean isSameProcess(UpstreamInstance other) {
    return id.equals(other.id) && startMillis == other.startMillis && address.equals(other.address);
  }

  /**
   * Returns whether this entry may describe the process of the other one. An entry without a start
   * time may describe any process with its id and address.
   */
  boolean mayBeProcess(UpstreamInstance other) {
    return isSameProcess(other)
        || startMillis == START_UNKNOWN && id.equals(other.id) && address.equals(other.address);
  }
}
