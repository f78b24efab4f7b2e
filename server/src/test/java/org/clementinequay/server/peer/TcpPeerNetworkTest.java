package org.clementinequay.server.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.KeyStore;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import org.clementinequay.core.membership.LinkTopology;
import org.clementinequay.core.membership.Member;
import org.clementinequay.core.platform.HostEntry;
import org.clementinequay.server.peer.PeerStatistics.Counter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the links over loopback TCP. */
public class TcpPeerNetworkTest {

  /** Links that work. */
  public static class Links {
    /** Guards against an identity, revision or announced shutdown that does not reach the peers. */
    @Test
    public void carriesIdentityAndHeartbeatContent() throws Exception {
      try (TestHost a = new TestHost("a", 1);
          TestHost b = new TestHost("b", 2)) {
        a.setHostList(b.entry());
        Await.until("linked", () -> a.isLinkedTo(b) && b.isLinkedTo(a));
        b.content = new HeartbeatContent(7, true, 3, 0.5);
        b.network.sendHeartbeatsNow();
        Await.until("content", () -> a.network.peers().stream().allMatch(p -> p.leaving()));
        PeerNetwork.Peer peer = a.network.peers().get(0);
        assertEquals(peer.host(), "b");
        assertEquals(peer.revision(), 7);
        assertTrue(peer.roundTripNanos() > 0);
        a.sendUntilDelivered(b, 1);
        b.sendUntilDelivered(a, 2);
      }
    }

    /** Guards against two links, or none, after both ends dialled at the same time. */
    @Test
    public void settlesSimultaneousDialsOnOneLink() throws Exception {
      for (int round = 0; round < 10; round++) {
        try (TestHost a = new TestHost("a", 10 + round);
            TestHost b = new TestHost("b", 50 - round)) {
          a.setHostList(a.entry(), b.entry());
          b.setHostList(a.entry(), b.entry());
          Await.until("linked", () -> a.isLinkedTo(b) && b.isLinkedTo(a));
          a.sendUntilDelivered(b, 1);
          b.sendUntilDelivered(a, 2);
          assertEquals(a.network.peers().size(), 1);
          assertEquals(b.network.peers().size(), 1);
        }
      }
    }

    /** Orders in which the two connections of a simultaneous dial come up at one end. */
    @DataProvider
    public Object[][] ordersOfTwoDials() {
      return new Object[][] {{true}, {false}};
    }

    /**
     * Guards against an end that closes one of two connections, by the rule or as a replaced link,
     * while the other end has no other link yet.
     */
    @Test(dataProvider = "ordersOfTwoDials")
    public void keepsTheSecondConnectionUntilThePeerUsesTheFirst(boolean keptFirst)
        throws Exception {
      try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
          TestHost a = new TestHost("a", 1)) {
        a.setHostList(TestHost.entry("raw", "127.0.0.1:" + server.getLocalPort()));
        // The incarnation of the raw peer is the greater one: the connection of a is kept.
        try (RawPeer kept = new RawPeer(server.accept());
            RawPeer other = new RawPeer(a)) {
          (keptFirst ? kept : other).bringLinkUp();
          Await.until("linked", () -> a.network.peers().size() == 1);
          (keptFirst ? other : kept).bringLinkUp();
          Await.until("decided", () -> a.count(Counter.DUPLICATE_CONNECTIONS) == 1);
          other.send(new PeerMessage.BillSealed(1));
          Await.until("delivered", () -> a.received.contains(new PeerMessage.BillSealed(1)));
          kept.sendHeartbeat(0);
          other.send(new PeerMessage.BillSealed(2));
          Await.until("delivered", () -> a.received.contains(new PeerMessage.BillSealed(2)));
          kept.sendHeartbeat(1);
          other.awaitClose();
          assertEquals(a.network.peers().size(), 1);
          assertEquals(a.linkEvents.stream().filter(e -> e.startsWith("-")).count(), 0);
        }
      }
    }

    /** Guards against links to other domains that accumulate as hosts are replaced. */
    @Test
    public void closesLinksThatTheTopologyNoLongerAsksFor() throws Exception {
      List<String> names = List.of("b", "c", "d");
      Set<String> chosen =
          new LinkTopology(names.stream().map(name -> new Member(name, "domain-2")).toList())
              .targets(new Member("a", "domain-1")).stream()
                  .map(Member::name)
                  .collect(Collectors.toSet());
      String other = names.stream().filter(name -> !chosen.contains(name)).findFirst().get();
      try (TestHost a = new TestHost("a", 1);
          TestHost b = new TestHost("b", 2);
          TestHost c = new TestHost("c", 3);
          TestHost d = new TestHost("d", 4)) {
        List<TestHost> hosts = List.of(b, c, d);
        HostEntry[] entries =
            hosts.stream()
                .map(h -> new HostEntry(h.identity.host(), "entry", "domain-2", h.address(), false))
                .toArray(HostEntry[]::new);
        a.setHostList(
            Stream.of(entries).filter(e -> e.name().equals(other)).toArray(HostEntry[]::new));
        Await.until("linked", () -> a.network.peers().size() == 1);
        a.setHostList(entries);
        Await.until(
            "links moved to the chosen hosts",
            () ->
                a.network.peers().stream()
                    .map(PeerNetwork.Peer::host)
                    .collect(Collectors.toSet())
                    .equals(chosen));
      }
    }

    /** Guards against links that are not reopened because the host list cannot be read. */
    @Test
    public void keepsTheLastHostList() throws Exception {
      try (TestHost a = new TestHost("a", 1);
          TestHost b = new TestHost("b", 2);
          Relay relay = new Relay(b.network.address())) {
        a.setHostList(TestHost.entry("b", relay.address()));
        Await.until("linked", () -> a.isLinkedTo(b));
        a.hostListFails = true;
        Await.until("failed", () -> a.count(Counter.HOST_LIST_FAILURES) > 1);
        relay.discard(true, true);
        Await.until("relinked", () -> a.count(Counter.LINKS_OPENED) > 1 && a.isLinkedTo(b));
      }
    }

    /**
     * Guards against TLS that is configured but not used, and clients that present no certificate.
     */
    @Test
    public void usesTls() throws Exception {
      SSLContext tls = testContext();
      try (TestHost a = new TestHost("a", 1, builder -> builder.tls(tls));
          TestHost b = new TestHost("b", 2, builder -> builder.tls(tls));
          TestHost plain = new TestHost("plain", 3)) {
        plain.setHostList(b.entry());
        a.setHostList(b.entry());
        Await.until("linked", () -> a.isLinkedTo(b) && b.isLinkedTo(a));
        a.sendUntilDelivered(b, 1);
        Await.until("refused", () -> b.count(Counter.HANDSHAKES_FAILED) > 0);
        assertFalse(b.isLinkedTo(plain));
      }
    }

    private static SSLContext testContext() throws Exception {
      char[] password = "testing".toCharArray();
      KeyStore store = KeyStore.getInstance("PKCS12");
      try (InputStream in = TcpPeerNetworkTest.class.getResourceAsStream("peer-test.p12")) {
        store.load(in, password);
      }
      KeyManagerFactory keys =
          KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
      keys.init(store, password);
      KeyStore trusted = KeyStore.getInstance("PKCS12");
      trusted.load(null, null);
      trusted.setCertificateEntry("peer", store.getCertificate("peer"));
      TrustManagerFactory trust =
          TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
      trust.init(trusted);
      SSLContext context = SSLContext.getInstance("TLS");
      context.init(keys.getKeyManagers(), trust.getTrustManagers(), null);
      return context;
    }
  }

  /** Links and hosts that fail. */
  public static class Failures {
    /** Guards against a host that keeps a connection that has become silent permanently. */
    @Test
    public void replacesSilentLink() throws Exception {
      testSilentLink(true, true);
    }

    /** Guards against a link that counts as alive because one of its directions still works. */
    @Test
    public void replacesLinkThatIsSilentInOneDirection() throws Exception {
      testSilentLink(true, false);
      testSilentLink(false, true);
    }

    private static void testSilentLink(boolean toTarget, boolean fromTarget) throws Exception {
      try (TestHost a = new TestHost("a", 1);
          TestHost b = new TestHost("b", 2);
          Relay relay = new Relay(b.network.address())) {
        a.setHostList(TestHost.entry("b", relay.address()));
        Await.until("linked", () -> a.isLinkedTo(b) && b.isLinkedTo(a));
        relay.discard(toTarget, fromTarget);
        // Either end may notice first; its close reaches the other end if that direction works.
        Await.until(
            "dropped", () -> a.count(Counter.LINKS_SILENT) + b.count(Counter.LINKS_SILENT) > 0);
        Await.until("opened anew", () -> a.count(Counter.LINKS_OPENED) > 1);
        Await.until("relinked", () -> a.isLinkedTo(b) && b.isLinkedTo(a));
        a.sendUntilDelivered(b, 1);
        b.sendUntilDelivered(a, 2);
      }
    }

    /** Guards against a peer that stays listed after its process ended. */
    @Test
    public void reportsClosedPeer() throws Exception {
      try (TestHost a = new TestHost("a", 1)) {
        TestHost b = new TestHost("b", 2);
        a.setHostList(b.entry());
        Await.until("linked", () -> a.isLinkedTo(b));
        b.close();
        Await.until("unlinked", () -> a.linkEvents.contains("-" + b.identity.incarnation()));
        assertEquals(a.network.peers(), List.of());
      }
    }

    /**
     * Guards against an earlier process of a host that keeps its link, or regains it, after a later
     * process of that host has linked.
     */
    @Test
    public void refusesStaleProcess() throws Exception {
      try (TestHost a = new TestHost("a", 1);
          TestHost old = new TestHost("b", 2);
          TestHost restarted = new TestHost("b", 3)) {
        old.setHostList(a.entry());
        Await.until("old linked", () -> a.isLinkedTo(old));
        restarted.setHostList(a.entry());
        Await.until("replaced", () -> a.isLinkedTo(restarted));
        assertFalse(a.isLinkedTo(old));
        Await.until("old refused", () -> a.count(Counter.STALE_CONNECTIONS) > 1);
        assertTrue(a.isLinkedTo(restarted));
        assertTrue(a.linkEvents.contains("-" + old.identity.incarnation()));
      }
    }

    /** Guards against a host that links to itself because the host list has another name for it. */
    @Test
    public void refusesOwnProcess() throws Exception {
      try (TestHost a = new TestHost("a", 1)) {
        a.setHostList(TestHost.entry("alias", a.address()));
        Await.until("refused", () -> a.count(Counter.OWN_CONNECTIONS) > 1);
        assertEquals(a.network.peers(), List.of());
      }
    }
  }

  /** Peers that violate the protocol. */
  public static class InvalidInput {
    /** Keeps the link to the raw peer, which does not answer heartbeats, for the whole test. */
    private static final UnaryOperator<TcpPeerNetwork.Builder> LONG_TIMEOUTS =
        builder ->
            builder.timings(
                new PeerTimings(
                    Duration.ofMillis(50),
                    Duration.ofMinutes(5),
                    Duration.ofMinutes(5),
                    Duration.ofMillis(20),
                    Duration.ofMillis(200),
                    Duration.ZERO,
                    Duration.ofMillis(50)));

    /** Guards against a listener that stops, or keeps connections, after arbitrary bytes. */
    @Test
    public void survivesMalformedInput() throws Exception {
      SplittableRandom random = new SplittableRandom(42);
      try (TestHost a = new TestHost("a", 1);
          TestHost b = new TestHost("b", 2)) {
        for (int i = 0; i < 50; i++) {
          byte[] bytes = new byte[1 + random.nextInt(64)];
          random.nextBytes(bytes);
          byte[] framed =
              ByteBuffer.allocate(4 + bytes.length).putInt(bytes.length).put(bytes).array();
          expectClosed(a, framed);
        }
        expectClosed(a, "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        expectClosed(a, FrameCodec.encode(new PeerMessage.BillSealed(1)));
        assertEquals(a.count(Counter.INVALID_FRAMES), 52);
        b.setHostList(a.entry());
        Await.until("linked", () -> a.isLinkedTo(b));
        assertEquals(a.network.peers().size(), 1);
      }
    }

    /** Guards against a length prefix that exhausts memory, before and after the link is up. */
    @Test
    public void closesOnOversizedFrame() throws Exception {
      byte[] length = ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array();
      try (TestHost a = new TestHost("a", 1, LONG_TIMEOUTS);
          RawPeer raw = new RawPeer(a)) {
        expectClosed(a, length);
        raw.bringLinkUp();
        Await.until("linked", () -> a.network.peers().size() == 1);
        raw.sendBytes(length);
        raw.awaitClose();
        assertEquals(a.count(Counter.INVALID_FRAMES), 2);
      }
    }

    /** Guards against a link to a release whose protocol version is too old. */
    @Test
    public void refusesOldProtocol() throws Exception {
      try (TestHost a = new TestHost("a", 1, LONG_TIMEOUTS);
          RawPeer raw = new RawPeer(a)) {
        raw.send(RawPeer.hello(TcpPeerNetwork.OLDEST_PROTOCOL - 1));
        raw.awaitClose();
        assertEquals(a.count(Counter.PROTOCOL_MISMATCHES), 1);
      }
    }

    /** Guards against a link that is lost because a later release sends a new message type. */
    @Test
    public void dropsUnknownMessageTypes() throws Exception {
      byte[] body = {(byte) 0x81, (byte) 0xa1, 't', (byte) 0xa4, 'n', 'e', 'x', 't'};
      try (TestHost a = new TestHost("a", 1, LONG_TIMEOUTS);
          RawPeer raw = new RawPeer(a)) {
        raw.bringLinkUp();
        raw.sendBytes(ByteBuffer.allocate(4 + body.length).putInt(body.length).put(body).array());
        raw.send(new PeerMessage.BillSealed(5));
        Await.until("later message", () -> !a.received.isEmpty());
        assertEquals(a.count(Counter.UNKNOWN_MESSAGES), 1);
        assertEquals(a.received, List.of(new PeerMessage.BillSealed(5)));
      }
    }

    /**
     * Guards against a sender that blocks, or gets true for a message that is not queued, because a
     * peer does not read.
     */
    @Test
    public void reportsFullQueue() throws Exception {
      try (TestHost a = new TestHost("a", 1, LONG_TIMEOUTS);
          RawPeer raw = new RawPeer(a)) {
        raw.bringLinkUp();
        Await.until("linked", () -> a.network.peers().size() == 1);
        PeerNetwork.Peer peer = a.network.peers().get(0);
        PeerMessage large = new PeerMessage.DocumentReply(1, "", "x".repeat(1 << 20));
        Await.until("queue full", () -> !a.network.send(peer.incarnation(), large));
        assertTrue(a.count(Counter.QUEUE_FULL) > 0);
      }
    }

    private static void expectClosed(TestHost host, byte[] bytes) throws Exception {
      long before = host.count(Counter.INVALID_FRAMES);
      try (RawPeer raw = new RawPeer(host)) {
        raw.sendBytes(bytes);
        raw.awaitClose();
      }
      Await.until("invalid frame counted", () -> host.count(Counter.INVALID_FRAMES) > before);
    }
  }
}
