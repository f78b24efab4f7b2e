package org.clementinequay.server.peer;

import java.util.List;
import org.clementinequay.core.Incarnation;

/** Links to the other entry hosts. */
public interface PeerNetwork {
  /** Returns the peers that are linked now. */
  List<Peer> peers();

  /**
   * Queues a message for one peer without blocking.
   *
   * @return false if the peer is not linked or its queue is full; the message is then not sent
   */
  boolean send(Incarnation to, PeerMessage message);

  /** Queues a message for every linked peer without blocking. */
  void broadcast(PeerMessage message);

  /** Adds a listener; it is called on the thread of all links and must not block. */
  void addListener(Listener listener);

  /** Receives messages and changes of links. */
  interface Listener {
    /** Called for each message from a peer, including heartbeats. */
    void received(Peer from, PeerMessage message);

    /** Called when a link to a peer has come up. */
    default void linked(Peer peer) {}

    /** Called when the link to a peer has ended, because the peer failed, left or was replaced. */
    default void unlinked(Peer peer) {}
  }

  /**
   * A linked entry host.
   *
   * @param incarnation incarnation of its process
   * @param host its name
   * @param domain its failure domain
   * @param region its region
   * @param weight its capacity relative to other hosts
   * @param roundTripNanos smoothed round-trip time in nanoseconds
   * @param revision the configuration revision in force there, 0 if none
   * @param leaving whether it has announced its shutdown
   */
  record Peer(
      Incarnation incarnation,
      String host,
      String domain,
      String region,
      double weight,
      long roundTripNanos,
      long revision,
      boolean leaving) {}
}
