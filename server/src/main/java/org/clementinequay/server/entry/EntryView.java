package org.clementinequay.server.entry;

import java.util.List;
import java.util.Optional;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.server.operator.HostStatus;
import org.clementinequay.server.operator.HostView;

/** What the operators' interface shows of this entry host. */
final class EntryView implements HostView {
  private static final long NANOS_PER_MICRO = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EntryHost host;

  EntryView(EntryHost host) {
    this.host = host;
  }

  @Override
  public boolean ready() {
    return host.ready();
  }

  @Override
  public Optional<RevisionedConfiguration> inForce() {
    return host.keeper().configuration();
  }

  @Override
  public HostStatus status() {
    long ageNanos = host.keeper().nanosSinceRefresh(host.clock().nanoTime()).orElse(0L);
    Optional<List<String>> unconfirmed = unconfirmed();
    return new HostStatus(
        host.settings().name(),
        host.incarnation().id(),
        host.settings().domain(),
        host.settings().region(),
        host.ready(),
        host.leaving(),
        host.keeper().number(),
        ageNanos / NANOS_PER_MILLI,
        host.path().handler.openRequests(),
        host.configuration().stopped().stream().map(ModelVersion::toString).toList(),
        unconfirmed.orElse(List.of()),
        unconfirmed.isPresent(),
        peers(),
        upstreams());
  }

  private Optional<List<String>> unconfirmed() {
    try {
      return Optional.of(host.confirmations().unconfirmed(host.keeper().number()));
    } catch (PlatformException e) {
      return Optional.empty();
    }
  }

  private List<HostStatus.PeerLine> peers() {
    return host.peers().peers().stream()
        .map(
            peer ->
                new HostStatus.PeerLine(
                    peer.host(),
                    peer.domain(),
                    peer.revision(),
                    peer.roundTripNanos() / NANOS_PER_MICRO,
                    peer.leaving()))
        .toList();
  }

  private List<HostStatus.UpstreamLine> upstreams() {
    return host.configuration().upstreams().stream()
        .map(
            upstream ->
                new HostStatus.UpstreamLine(
                    upstream.name(),
                    host.path().health.state(upstream.name()),
                    host.path().tracker.ownOutstanding().getOrDefault(upstream.name(), 0)))
        .toList();
  }
}
