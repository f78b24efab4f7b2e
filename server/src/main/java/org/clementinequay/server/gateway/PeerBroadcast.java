package org.clementinequay.server.gateway;

import java.util.function.Predicate;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;

/** Sends messages to linked peers. */
interface PeerBroadcast {
  /**
   * Queues a message for the peers that match, without blocking.
   *
   * @return the bytes queued on all links together
   */
  long broadcast(PeerMessage message, Predicate<PeerNetwork.Peer> receivers);
}
