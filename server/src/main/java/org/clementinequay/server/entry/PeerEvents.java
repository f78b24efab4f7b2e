package org.clementinequay.server.entry;

import com.google.common.flogger.FluentLogger;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.rollout.LocalRolloutMonitor;
import org.clementinequay.server.control.RolloutEvidence;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;

/** Takes up what the peers tell of upstreams, versions and their own coming and going. */
final class PeerEvents implements PeerNetwork.Listener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final RequestPath path;
  private final LocalRolloutMonitor brake;
  private final RolloutEvidence evidence;
  private final String domain;

  PeerEvents(RequestPath path, LocalRolloutMonitor brake, RolloutEvidence evidence, String domain) {
    this.path = path;
    this.brake = brake;
    this.evidence = evidence;
    this.domain = domain;
  }

  @Override
  public void received(PeerNetwork.Peer from, PeerMessage message) {
    if (message instanceof PeerMessage.UpstreamNews news) {
      // Ejection tells of the sender's connections, which other domains do not share.
      if (from.domain().equals(domain) || !news.state().equals(UpstreamState.EJECTED.label())) {
        UpstreamState.ofLabel(news.state())
            .ifPresent(state -> state.apply(path.health, news.upstream()));
      }
    } else if (message instanceof PeerMessage.VersionStopped stopped) {
      stop(from, stopped);
    } else if (message instanceof PeerMessage.Heartbeat) {
      path.tracker.recordRoundTrip(from.domain(), from.roundTripNanos());
    }
  }

  private void stop(PeerNetwork.Peer from, PeerMessage.VersionStopped stopped) {
    try {
      ModelVersion version = ModelVersion.parse(stopped.modelVersion());
      if (!brake.isStopped(version)) {
        brake.recordPeerStop(version, stopped.evidence());
        logger.atWarning().log(
            "peer %s stopped version %s: %s",
            from.host(), stopped.modelVersion(), stopped.evidence());
      }
    } catch (IllegalArgumentException e) {
      logger.atWarning().log("peer %s named no version: %s", from.host(), e.getMessage());
    }
  }

  @Override
  public void unlinked(PeerNetwork.Peer peer) {
    path.tracker.removePeer(peer.incarnation());
    evidence.removePeer(peer.incarnation());
  }
}
