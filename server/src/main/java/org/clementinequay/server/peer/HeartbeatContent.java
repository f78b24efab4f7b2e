package org.clementinequay.server.peer;

/**
 * State of this host that each heartbeat carries to the peers.
 *
 * @param revision the configuration revision in force here, 0 if none
 * @param leaving whether this host is shutting down
 * @param requestsInProgress number of callers' requests in progress
 * @param demand load offered to this host relative to its weight
 */
public record HeartbeatContent(
    long revision, boolean leaving, long requestsInProgress, double demand) {
  PeerMessage.Heartbeat toMessage(long sequence, long answered, long heldMicros) {
    return new PeerMessage.Heartbeat(
        sequence, answered, heldMicros, revision, leaving, requestsInProgress, demand);
  }
}
