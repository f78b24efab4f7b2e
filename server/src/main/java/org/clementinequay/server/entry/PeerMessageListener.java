package org.clementinequay.server.entry;

import com.google.common.flogger.FluentLogger;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.rollout.LocalRolloutMonitor;
import org.clementinequay.server.control.RolloutEvidence;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;

/** Applies what peers report about upstreams, versions and latency, and removes lost peers. */
final class PeerMessageListener implements PeerNetwork.Listener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final RequestComponents requests;
  private final LocalRolloutMonitor rolloutMonitor;
  private final RolloutEvidence evidence;
  private final String domain;

  PeerMessageListener(
      RequestComponents requests,
      LocalRolloutMonitor rolloutMonitor,
      RolloutEvidence evidence,
      String domain) {
    this.requests = requests;
    this.rolloutMonitor = rolloutMonitor;
    this.evidence = evidence;
    this.domain = domain;
  }

  @Override
  public void received(PeerNetwork.Peer from, PeerMessage message) {
    if (message instanceof PeerMessage.UpstreamNews news) {
      // An ejection reflects the connections of the sender, which other domains do not share.
      if (from.domain().equals(domain) || !news.state().equals(UpstreamState.EJECTED.label())) {
        UpstreamState.fromLabel(news.state())
            .ifPresent(state -> state.apply(requests.health, news.upstream()));
      }
    } else if (message instanceof PeerMessage.VersionStopped stopped) {
      applyVersionStop(from, stopped);
    } else if (message instanceof PeerMessage.Heartbeat) {
      requests.tracker.recordRoundTrip(from.domain(), from.roundTripNanos());
    }
  }

  private void applyVersionStop(PeerNetwork.Peer from, PeerMessage.VersionStopped stopped) {
    try {
      ModelVersion version = ModelVersion.parse(stopped.modelVersion());
      if (!rolloutMonitor.isStopped(version)) {
        rolloutMonitor.recordPeerStop(version, stopped.evidence());
        logger.atWarning().log(
            "peer %s stopped version %s: %s",
            from.host(), stopped.modelVersion(), stopped.evidence());
      }
    } catch (IllegalArgumentException e) {
      logger.atWarning().log(
          "peer %s sent a malformed model version: %s", from.host(), e.getMessage());
    }
  }

  @Override
  public void unlinked(PeerNetwork.Peer peer) {
    requests.tracker.removePeer(peer.incarnation());
    evidence.removePeer(peer.incarnation());
  }
}
