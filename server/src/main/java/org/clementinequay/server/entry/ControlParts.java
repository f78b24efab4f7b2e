package org.clementinequay.server.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.config.Upstream;
import org.clementinequay.core.lease.LeaseTerms;
import org.clementinequay.core.membership.RendezvousHash;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.control.DutyHolder;
import org.clementinequay.server.control.HttpOrderPort;
import org.clementinequay.server.control.LeasedDuty;
import org.clementinequay.server.control.UpstreamOrdersDuty;
import org.clementinequay.server.peer.PeerNetwork;
import org.clementinequay.server.settings.Settings;
import org.eclipse.jetty.client.HttpClient;

/** The control duties that one host at a time performs. */
final class ControlParts implements AutoCloseable {
  private static final int CLIENT_THREADS = 8;

  private final Settings settings;
  private final PeerNetwork peers;
  private final HttpClient http = HttpParts.client("order", CLIENT_THREADS);
  private final List<DutyHolder> holders = new ArrayList<>();

  ControlParts(
      Settings settings,
      Incarnation self,
      RuntimeClock clock,
      PlatformClients platform,
      PeerNetwork peers,
      Supplier<List<Upstream>> upstreams) {
    this.settings = settings;
    this.peers = peers;
    add(
        new UpstreamOrdersDuty(settings.domain(), upstreams, new HttpOrderPort(http)),
        self,
        clock,
        platform);
  }

  private void add(
      LeasedDuty duty, Incarnation self, RuntimeClock clock, PlatformClients platform) {
    holders.add(
        new DutyHolder(
            duty,
            platform.table,
            self,
            () -> preferred(duty.name()),
            LeaseTerms.PRODUCTION,
            clock));
  }

  private boolean preferred(String duty) {
    List<PeerNetwork.Peer> candidates =
        peers.peers().stream()
            .filter(peer -> !peer.leaving() && peer.domain().equals(settings.domain()))
            .toList();
    Optional<PeerNetwork.Peer> best =
        RendezvousHash.preferred(
            duty, candidates, PeerNetwork.Peer::host, PeerNetwork.Peer::weight);
    double own = RendezvousHash.score(duty, settings.name(), settings.weight());
    return best.isEmpty()
        || own > RendezvousHash.score(duty, best.get().host(), best.get().weight());
  }

  void start() throws Exception {
    http.start();
    holders.forEach(DutyHolder::start);
  }

  @Override
  public void close() throws Exception {
    for (DutyHolder holder : holders) {
      holder.close();
    }
    http.stop();
  }
}
