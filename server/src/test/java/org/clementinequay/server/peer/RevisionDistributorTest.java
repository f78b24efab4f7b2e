package org.clementinequay.server.peer;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.spread.DocumentHash;
import org.clementinequay.core.time.SystemClock;
import org.testng.annotations.Test;

/** Tests of the distribution of revisions over loopback links. */
public class RevisionDistributorTest {
  private static final RouterConfiguration CONFIGURATION = RouterConfiguration.builder().build();

  private static RevisionedConfiguration revision(long number) {
    String text = "document " + number;
    return new RevisionedConfiguration(number, DocumentHash.of(text), text, CONFIGURATION);
  }

  /** A host with links and a distributor of revisions. */
  private static final class DistributorHost implements AutoCloseable {
    private final TestHost host;
    private final RevisionDistributor distributor;

    private DistributorHost(String name, long seed) throws Exception {
      host = new TestHost(name, seed);
      distributor =
          new RevisionDistributor(
                  host.network, text -> Optional.of(CONFIGURATION), new SystemClock())
              .start();
      distributor
          .currentRevision()
          .addListener(
              applied -> host.content = new HeartbeatContent(applied.revision(), false, 0, 0));
    }

    private long revision() {
      return distributor.currentRevision().number();
    }

    @Override
    public void close() {
      distributor.close();
      host.close();
    }
  }

  /** Hosts that cannot reach the platform. */
  public static class WithoutPlatform {
    /** Guards against hosts that receive revisions from the platform only. */
    @Test
    public void revisionReachesHostsWithoutDirectLink() throws Exception {
      List<DistributorHost> hosts = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        hosts.add(new DistributorHost("h" + i, i));
      }
      for (int i = 1; i < hosts.size(); i++) {
        hosts.get(i).host.setHostList(hosts.get(i - 1).host.entry());
      }
      for (int i = 1; i < hosts.size(); i++) {
        TestHost previous = hosts.get(i - 1).host;
        TestHost next = hosts.get(i).host;
        Await.until("linked", () -> next.isLinkedTo(previous) && previous.isLinkedTo(next));
      }
      hosts.get(0).distributor.currentRevision().activateIfNewer(revision(1));
      Await.until(
          "revision reaches all hosts",
          () -> hosts.stream().allMatch(host -> host.revision() == 1));
      assertEquals(
          hosts.get(3).distributor.currentRevision().configuration().get().text(), "document 1");
      hosts.forEach(DistributorHost::close);
    }

    /**
     * Guards against a host that keeps an old revision because it linked after the announcement.
     */
    @Test
    public void lateHostCatchesUp() throws Exception {
      try (DistributorHost a = new DistributorHost("a", 1);
          DistributorHost b = new DistributorHost("b", 2)) {
        a.distributor.currentRevision().activateIfNewer(revision(5));
        b.host.setHostList(a.host.entry());
        Await.until("revision is in force", () -> b.revision() == 5);
      }
    }

    /** Guards against a damaged or forged document that is put in force. */
    @Test
    public void refusesDocumentWithAnotherHash() throws Exception {
      try (DistributorHost a = new DistributorHost("a", 1);
          DistributorHost b = new DistributorHost("b", 2)) {
        b.host.setHostList(a.host.entry());
        Await.until("linked", () -> a.host.isLinkedTo(b.host) && b.host.isLinkedTo(a.host));
        b.host.network.broadcast(
            new PeerMessage.DocumentReply(9, DocumentHash.of("other"), "damaged"));
        a.host.sendUntilDelivered(b.host, 1);
        b.distributor.currentRevision().activateIfNewer(revision(2));
        Await.until("later revision is in force", () -> a.revision() == 2);
      }
    }
  }

  /** Order in which a revision is announced and put in force. */
  public static class Announcement {
    /** Guards against a request that is ignored because the revision is not in force here yet. */
    @Test
    public void documentIsSentWhileItIsAnnounced() {
      ImmediateRequestNetwork network = new ImmediateRequestNetwork();
      RevisionDistributor distributor =
          new RevisionDistributor(network, text -> Optional.of(CONFIGURATION), new SystemClock());
      network.listener = distributor;
      distributor.currentRevision().activateIfNewer(revision(3));
      assertEquals(
          network.sent,
          List.of(new PeerMessage.DocumentReply(3, DocumentHash.of("document 3"), "document 3")));
    }
  }

  /** Links whose peer requests a document while it is being announced. */
  private static final class ImmediateRequestNetwork implements PeerNetwork {
    private final Peer peer =
        new Peer(Incarnation.random(new SplittableRandom(1)), "b", "a", "pnw", 1, 1, 0, false);
    private final List<PeerMessage> sent = new ArrayList<>();
    private Listener listener;

    @Override
    public List<Peer> peers() {
      return List.of(peer);
    }

    @Override
    public boolean send(Incarnation to, PeerMessage message) {
      return sent.add(message);
    }

    @Override
    public void broadcast(PeerMessage message) {
      if (message instanceof PeerMessage.RevisionAnnounced announced) {
        listener.received(peer, new PeerMessage.DocumentRequest(announced.revision()));
      }
    }

    @Override
    public void addListener(Listener added) {}
  }
}
