package org.clementinequay.server.entry;

import java.util.List;
import java.util.Optional;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.server.operator.HostStatus;
import org.clementinequay.server.operator.HostView;

/** Provides the state of this entry host to the operator interface. */
final class EntryHostView implements HostView {
  private static final long NANOS_PER_MICRO = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EntryHost host;

  EntryHostView(EntryHost host) {
    this.host = host;
  }

  @Override
  public boolean ready() {
    return host.ready();
  }

  @Override
  public Optional<RevisionedConfiguration> inForce() {
    return host.currentRevision().configuration();
  }

  @Override
  public HostStatus status() {
    long ageNanos = host.currentRevision().nanosSinceRefresh(host.clock().nanoTime()).orElse(0L);
    Optional<List<String>> unconfirmedHosts = findUnconfirmedHosts();
    return new HostStatus(
        host.settings().name(),
        host.incarnation().id(),
        host.settings().domain(),
        host.settings().region(),
        host.ready(),
        host.leaving(),
        host.currentRevision().number(),
        ageNanos / NANOS_PER_MILLI,
        host.requests().handler.openRequests(),
        host.configuration().stoppedVersions().stream().map(ModelVersion::toString).toList(),
        unconfirmedHosts.orElse(List.of()),
        unconfirmedHosts.isPresent(),
        peers(),
        upstreams());
  }

  private Optional<List<String>> findUnconfirmedHosts() {
    try {
      return Optional.of(host.confirmations().unconfirmed(host.currentRevision().number()));
    } catch (PlatformException e) {
      return Optional.empty();
    }
  }

  private List<HostStatus.PeerStatus> peers() {
    return host.peers().peers().stream()
        .map(
            peer ->
                new HostStatus.PeerStatus(
                    peer.host(),
                    peer.domain(),
                    peer.revision(),
                    peer.roundTripNanos() / NANOS_PER_MICRO,
                    peer.leaving()))
        .toList();
  }

  private List<HostStatus.UpstreamStatus> upstreams() {
    return host.configuration().upstreams().stream()
        .map(
            upstream ->
                new HostStatus.UpstreamStatus(
                    upstream.name(),
                    host.requests().health.state(upstream.name()),
                    host.requests().tracker.ownOutstanding().getOrDefault(upstream.name(), 0)))
        .toList();
  }
}
