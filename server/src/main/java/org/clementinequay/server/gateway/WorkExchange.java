package org.clementinequay.server.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;

/**
 * Tells the peers this host's outstanding work and takes up theirs, so that hosts do not run to the
 * same engine. The engines' own reports are older, and each reading of one is priced.
 */
final class WorkExchange implements PeerNetwork.Listener {
  /** Time between two messages; a long prompt takes an engine about as long. */
  private static final Duration INTERVAL = Duration.ofMillis(300);

  private final Gateway gateway;
  private final PeerNetwork peers;
  private boolean told;

  WorkExchange(Gateway gateway, PeerNetwork peers) {
    this.gateway = gateway;
    this.peers = peers;
    peers.addListener(this);
  }

  Duration step() {
    Map<String, Long> millis = new TreeMap<>();
    gateway.engines.ownWork().forEach((engine, work) -> millis.put(engine, Math.round(work)));
    if (!millis.isEmpty() || told) {
      peers.broadcast(new PeerMessage.OutstandingWork(millis));
      told = !millis.isEmpty();
    }
    return INTERVAL;
  }

  @Override
  public void received(PeerNetwork.Peer from, PeerMessage message) {
    if (message instanceof PeerMessage.OutstandingWork work) {
      Map<String, Double> millis = new HashMap<>();
      work.millis().forEach((engine, value) -> millis.put(engine, value.doubleValue()));
      gateway.engines.peerWork(from.host(), millis, gateway.clock.nanoTime());
    }
  }

  @Override
  public void unlinked(PeerNetwork.Peer peer) {
    gateway.engines.peerGone(peer.host());
  }
}
