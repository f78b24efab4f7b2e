package org.clementinequay.server.peer;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.peer.PeerStatistics.Counter;

/**
 * Connections of this host to its peers: those that have not come up, the links, and those that
 * another connection to the same process has replaced. A replaced connection stays open until the
 * other end uses the link, because until then the other end may have no other connection. Runs on
 * the thread of the {@link LinkLoop}; other threads may read the links and add listeners.
 */
final class LinkRegistry implements PeerLink.Owner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Connections that have not come up yet; at this number, accepted connections are closed. */
  private static final int MAX_PENDING_CONNECTIONS = 512;

  /**
   * Number of heartbeat intervals without an acknowledgement after which any new connection
   * replaces a link.
   */
  private static final int MAX_SILENT_HEARTBEATS = 2;

  private final PeerIdentity self;
  private final Supplier<HeartbeatContent> heartbeatContent;
  private final RuntimeClock clock;
  private final PeerTimings timings;
  private final LinkConnection.Factory connections;
  private final PeerStatistics statistics;
  private final LinkTable table;
  private final Set<PeerLink> pending = new HashSet<>();
  private final Set<PeerLink> retired = new HashSet<>();
  private final List<PeerNetwork.Listener> listeners = new CopyOnWriteArrayList<>();
  private boolean closed;

  LinkRegistry(
      PeerIdentity self,
      Supplier<HeartbeatContent> heartbeatContent,
      RuntimeClock clock,
      PeerTimings timings,
      LinkConnection.Factory connections) {
    this.self = self;
    this.heartbeatContent = heartbeatContent;
    this.clock = clock;
    this.timings = timings;
    this.connections = connections;
    this.statistics = connections.statistics();
    this.table =
        new LinkTable(
            self.incarnation(), MAX_SILENT_HEARTBEATS * timings.heartbeatInterval().toNanos());
  }

  void addListener(PeerNetwork.Listener listener) {
    listeners.add(Objects.requireNonNull(listener));
  }

  List<PeerLink> links() {
    return table.links();
  }

  boolean isLinked(String host) {
    return table.isLinked(host);
  }

  Optional<PeerLink> find(Incarnation incarnation) {
    return table.find(incarnation);
  }

  /** Starts a link on an accepted connection. */
  void accept(SocketChannel socket) {
    if (closed || pending.size() >= MAX_PENDING_CONNECTIONS) {
      statistics.add(Counter.HANDSHAKES_FAILED, 1);
      closeSilently(socket);
      return;
    }
    try {
      String label = String.valueOf(socket.getRemoteAddress());
      open(newLink(label, Optional.of(socket)), Optional.empty());
    } catch (IOException e) {
      logger.atFine().withCause(e).log("cannot use a connection that was accepted");
      closeSilently(socket);
    }
  }

  private static void closeSilently(SocketChannel socket) {
    try {
      socket.close();
    } catch (IOException e) {
      logger.atFine().withCause(e).log("cannot close a connection that was accepted");
    }
  }

  /** Starts to open a link; empty if there is no socket for it. */
  Optional<PeerLink> dial(String host, InetSocketAddress address) {
    try {
      return Optional.of(open(newLink(host, Optional.empty()), Optional.of(address)));
    } catch (IOException e) {
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).withCause(e).log(
          "cannot open a connection to %s", host);
      return Optional.empty();
    }
  }

  private PeerLink newLink(String label, Optional<SocketChannel> accepted) throws IOException {
    return new PeerLink(this, label, accepted, connections, clock, timings);
  }

  private PeerLink open(PeerLink link, Optional<InetSocketAddress> target) {
    pending.add(link);
    link.open(target);
    return link;
  }

  /** Ends the links that are silent and those that do not come up, and sends heartbeats. */
  void maintain() {
    long now = clock.nanoTime();
    for (Set<PeerLink> links : List.of(pending, retired)) {
      for (PeerLink link : List.copyOf(links)) {
        if (link.ageNanos(now) > timings.handshakeTimeout().toNanos()) {
          link.end(PeerLink.EndReason.CLOSED);
        }
      }
    }
    HeartbeatContent current = heartbeatContent.get();
    for (PeerLink link : table.links()) {
      if (link.isSilent(now)) {
        link.end(PeerLink.EndReason.SILENT);
        continue;
      }
      try {
        link.queueHeartbeat(current);
      } catch (IOException e) {
        logger.atSevere().withCause(e).log("cannot encode a heartbeat");
      }
    }
  }

  /** Ends all links and refuses new ones. */
  void close() {
    closed = true;
    List<PeerLink> all = new ArrayList<>(pending);
    all.addAll(retired);
    all.addAll(table.links());
    all.forEach(link -> link.end(PeerLink.EndReason.SHUTDOWN));
  }

  @Override
  public PeerMessage.Hello hello() {
    return self.toHello(TcpPeerNetwork.PROTOCOL);
  }

  @Override
  public boolean accepts(PeerMessage.Hello hello, PeerIdentity remote) {
    if (hello.protocol() < TcpPeerNetwork.OLDEST_PROTOCOL) {
      statistics.add(Counter.PROTOCOL_MISMATCHES, 1);
      logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
          "refusing %s: it uses protocol version %d, the oldest supported version is %d",
          remote.host(), hello.protocol(), TcpPeerNetwork.OLDEST_PROTOCOL);
      return false;
    }
    boolean isSelf =
        remote.incarnation().equals(self.incarnation()) || remote.host().equals(self.host());
    if (isSelf) {
      statistics.add(Counter.OWN_CONNECTIONS, 1);
      logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
          "refusing a connection with the name or the incarnation of this host");
    }
    return !isSelf;
  }

  @Override
  public HeartbeatContent heartbeat() {
    return heartbeatContent.get();
  }

  @Override
  public PeerLink.Admission admit(PeerLink link) {
    LinkTable.Admission admission = table.admit(link, clock.nanoTime());
    LinkTable.Decision decision = admission.decision();
    recordDecision(link, decision);
    if (decision == LinkTable.Decision.DUPLICATE) {
      Optional<PeerLink> kept = table.find(link.remote().incarnation());
      if (kept.isEmpty() || kept.get().isUsedByPeer()) {
        return PeerLink.Admission.REFUSED;
      }
      pending.remove(link);
      retired.add(link);
      return PeerLink.Admission.RETIRED;
    }
    if (!decision.kept()) {
      return PeerLink.Admission.REFUSED;
    }
    pending.remove(link);
    if (decision == LinkTable.Decision.REPLACED_PROCESS) {
      admission
          .displaced()
          .ifPresent(displaced -> notifyListeners(listener -> listener.unlinked(displaced.peer())));
    }
    notifyListeners(listener -> listener.linked(link.peer()));
    admission.displaced().ifPresent(displaced -> replace(displaced, decision));
    return PeerLink.Admission.UP;
  }

  private void replace(PeerLink displaced, LinkTable.Decision decision) {
    if (decision == LinkTable.Decision.REPLACED_LINK) {
      displaced.retire();
      retired.add(displaced);
    } else {
      displaced.end(PeerLink.EndReason.SUPERSEDED);
    }
  }

  /** Counts and logs a decision. */
  private void recordDecision(PeerLink link, LinkTable.Decision decision) {
    decision.counter().ifPresent(counter -> statistics.add(counter, 1));
    if (decision.kept()) {
      statistics.add(Counter.LINKS_OPENED, 1);
    }
    if (decision == LinkTable.Decision.STALE) {
      logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
          "refusing process %s of %s: a later process of this host has had a link; if both run,"
              + " two hosts have the same name",
          link.remote().incarnation(), link.remote().host());
    }
  }

  @Override
  public void used(PeerLink link) {
    for (PeerLink replaced : List.copyOf(retired)) {
      if (replaced.remote().incarnation().equals(link.remote().incarnation())) {
        replaced.end(PeerLink.EndReason.SUPERSEDED);
      }
    }
  }

  @Override
  public void received(PeerLink link, PeerMessage message) {
    notifyListeners(listener -> listener.received(link.peer(), message));
  }

  @Override
  public void ended(PeerLink link, PeerLink.EndReason reason) {
    boolean wasPending = pending.remove(link);
    retired.remove(link);
    if (table.remove(link)) {
      statistics.add(
          reason == PeerLink.EndReason.SILENT ? Counter.LINKS_SILENT : Counter.LINKS_CLOSED, 1);
      logger.atInfo().log("link to %s ended: %s", link.remote().host(), reason);
      notifyListeners(listener -> listener.unlinked(link.peer()));
    } else if (wasPending && reason == PeerLink.EndReason.CLOSED) {
      statistics.add(Counter.HANDSHAKES_FAILED, 1);
    }
  }

  private void notifyListeners(Consumer<PeerNetwork.Listener> event) {
    for (PeerNetwork.Listener listener : listeners) {
      try {
        event.accept(listener);
      } catch (RuntimeException e) {
        statistics.add(Counter.LISTENER_FAILURES, 1);
        logger.atSevere().withCause(e).log("peer listener failed");
      }
    }
  }
}
