package org.clementinequay.server.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.platform.HostEntry;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;

/**
 * The links of an entry host, with short timings and a host list that the test sets; records
 * messages and changes of links.
 */
final class TestHost implements AutoCloseable {
  static final PeerTimings SHORT_TIMINGS =
      new PeerTimings(
          Duration.ofMillis(50),
          Duration.ofSeconds(1),
          Duration.ofSeconds(10),
          Duration.ofMillis(20),
          Duration.ofMillis(200),
          Duration.ZERO,
          Duration.ofMillis(50));

  final PeerIdentity identity;
  final TcpPeerNetwork network;
  final List<PeerMessage> received = new CopyOnWriteArrayList<>();
  final List<String> linkEvents = new CopyOnWriteArrayList<>();
  volatile HeartbeatContent content = new HeartbeatContent(0, false, 0, 0);
  volatile boolean hostListFails;
  private volatile List<HostEntry> hosts = List.of();

  TestHost(String name, long seed) throws IOException {
    this(name, seed, UnaryOperator.identity());
  }

  TestHost(String name, long seed, UnaryOperator<TcpPeerNetwork.Builder> options)
      throws IOException {
    SplittableRandom random = new SplittableRandom(seed);
    identity = new PeerIdentity(Incarnation.random(random), name, "domain-1", "pnw", 1.0);
    TcpPeerNetwork.Builder builder =
        TcpPeerNetwork.builder(identity)
            .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .directory(this::hosts)
            .timings(SHORT_TIMINGS)
            .random(random)
            .heartbeat(() -> content);
    network = options.apply(builder).build();
    network.addListener(new Recorder());
    network.start();
  }

  static HostEntry entry(String name, String address) {
    return new HostEntry(name, "entry", "domain-1", address, false);
  }

  String address() {
    return "127.0.0.1:" + network.address().getPort();
  }

  HostEntry entry() {
    return entry(identity.host(), address());
  }

  void setHostList(HostEntry... entries) {
    hosts = new ArrayList<>(Arrays.asList(entries));
  }

  private List<HostEntry> hosts() throws PlatformException {
    if (hostListFails) {
      throw new PlatformUnavailableException("host list is unavailable");
    }
    return hosts;
  }

  long count(PeerStatistics.Counter counter) {
    return network.statistics().value(counter);
  }

  boolean isLinkedTo(TestHost other) {
    return network.peers().stream()
        .anyMatch(peer -> peer.incarnation().equals(other.identity.incarnation()));
  }

  /** Sends a message until one arrives; messages on a link that is replaced may be lost. */
  void sendUntilDelivered(TestHost other, long number) throws Exception {
    PeerMessage message = new PeerMessage.BillSealed(number);
    Await.until(
        "message " + number + " arrives",
        () -> {
          network.send(other.identity.incarnation(), message);
          return other.received.contains(message);
        });
  }

  @Override
  public void close() {
    network.close();
  }

  private final class Recorder implements PeerNetwork.Listener {
    @Override
    public void received(PeerNetwork.Peer from, PeerMessage message) {
      if (!(message instanceof PeerMessage.Heartbeat)
          && !(message instanceof PeerMessage.HeartbeatAck)) {
        received.add(message);
      }
    }

    @Override
    public void linked(PeerNetwork.Peer peer) {
      linkEvents.add("+" + peer.incarnation());
    }

    @Override
    public void unlinked(PeerNetwork.Peer peer) {
      linkEvents.add("-" + peer.incarnation());
    }
  }
}
