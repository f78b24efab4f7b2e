package org.clementinequay.server.operator;

import java.util.List;

/**
 * State of an entry host.
 *
 * @param host name of the host
 * @param incarnation id of the process
 * @param domain failure domain
 * @param region region
 * @param ready whether it accepts requests
 * @param leaving whether it is shutting down
 * @param revision configuration revision in force there, 0 if none
 * @param configurationAgeMillis time since the revision was last confirmed, in milliseconds
 * @param openRequests requests in progress
 * @param stoppedVersions versions, as {@code model@version}, that the rollout monitor stopped on
 *     this host
 * @param unconfirmed entry hosts on the platform's list that have not confirmed the revision in
 *     force here
 * @param confirmationsKnown whether the confirmations and the host list could be read
 * @param peers other entry hosts that it is connected to
 * @param upstreams upstreams of the configuration in force
 */
public record HostStatus(
    String host,
    String incarnation,
    String domain,
    String region,
    boolean ready,
    boolean leaving,
    long revision,
    long configurationAgeMillis,
    long openRequests,
    List<String> stoppedVersions,
    List<String> unconfirmed,
    boolean confirmationsKnown,
    List<PeerStatus> peers,
    List<UpstreamStatus> upstreams) {
  /** Copies the lists, so that later changes to the given ones have no effect. */
  public HostStatus {
    stoppedVersions = List.copyOf(stoppedVersions);
    unconfirmed = List.copyOf(unconfirmed);
    peers = List.copyOf(peers);
    upstreams = List.copyOf(upstreams);
  }

  /**
   * State of another entry host that this host is connected to.
   *
   * @param host name
   * @param domain failure domain
   * @param revision configuration revision in force there, 0 if none
   * @param roundTripMicros smoothed round-trip time in microseconds
   * @param leaving whether it is shutting down
   */
  public record PeerStatus(
      String host, String domain, long revision, long roundTripMicros, boolean leaving) {}

  /**
   * State of an upstream as observed by this host.
   *
   * @param name name
   * @param state such as {@code healthy}, {@code ejected} or {@code leaving}
   * @param inProgress requests from this host that the upstream is processing
   */
  public record UpstreamStatus(String name, String state, long inProgress) {}
}
