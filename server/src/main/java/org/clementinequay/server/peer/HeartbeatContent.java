package org.clementinequay.server.peer;

/**
 * What the host tells every peer with each heartbeat.
 *
 * @param revision the configuration revision in force here, 0 if none
 * @param leaving whether this host is shutting down
 * @param requestsInProgress number of callers' requests in progress
 * @param demand load offered to this host relative to its size
 */
public record HeartbeatContent(
    long revision, boolean leaving, long requestsInProgress, double demand) {
  PeerMessage.Heartbeat message(long sequence, long answered, long heldMicros) {
    return new PeerMessage.Heartbeat(
        sequence, answered, heldMicros, revision, leaving, requestsInProgress, demand);
  }
}
