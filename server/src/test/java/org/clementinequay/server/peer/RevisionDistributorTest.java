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

/** Tests of the spread of revisions over loopback links. */
public class RevisionDistributorTest {
  private static final RouterConfiguration CONFIGURATION = RouterConfiguration.builder().build();

  private static RevisionedConfiguration revision(long number) {
    String text = "document " + number;
    return new RevisionedConfiguration(number, DocumentHash.of(text), text, CONFIGURATION);
  }

  /** A host with links and the spread on top. */
  private static final class SpreadHost implements AutoCloseable {
    private final TestHost host;
    private final RevisionDistributor spread;

    private SpreadHost(String name, long seed) throws Exception {
      host = new TestHost(name, seed);
      spread =
          new RevisionDistributor(
                  host.network, text -> Optional.of(CONFIGURATION), new SystemClock())
              .start();
      spread
          .currentRevision()
          .addListener(
              applied -> host.content = new HeartbeatContent(applied.revision(), false, 0, 0));
    }

    private long revision() {
      return spread.currentRevision().number();
    }

    @Override
    public void close() {
      spread.close();
      host.close();
    }
  }

  /** Hosts that cannot reach the platform. */
  public static class WithoutPlatform {
    /** Guards against hosts that learn of revisions from the platform only. */
    @Test
    public void revisionReachesHostsWithoutDirectLink() throws Exception {
      List<SpreadHost> hosts = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        hosts.add(new SpreadHost("h" + i, i));
      }
      for (int i = 1; i < hosts.size(); i++) {
        hosts.get(i).host.sees(hosts.get(i - 1).host.entry());
      }
      for (int i = 1; i < hosts.size(); i++) {
        TestHost previous = hosts.get(i - 1).host;
        TestHost next = hosts.get(i).host;
        Await.until("linked", () -> next.isLinkedTo(previous) && previous.isLinkedTo(next));
      }
      hosts.get(0).spread.currentRevision().activateIfNewer(revision(1));
      Await.until("spread", () -> hosts.stream().allMatch(host -> host.revision() == 1));
      assertEquals(
          hosts.get(3).spread.currentRevision().configuration().get().text(), "document 1");
      hosts.forEach(SpreadHost::close);
    }

    /** Guards against a host that linked after the announcement and stays behind. */
    @Test
    public void lateHostCatchesUp() throws Exception {
      try (SpreadHost a = new SpreadHost("a", 1);
          SpreadHost b = new SpreadHost("b", 2)) {
        a.spread.currentRevision().activateIfNewer(revision(5));
        b.host.sees(a.host.entry());
        Await.until("caught up", () -> b.revision() == 5);
      }
    }

    /** Guards against a document that is damaged or forged and put in force. */
    @Test
    public void refusesDocumentWithAnotherHash() throws Exception {
      try (SpreadHost a = new SpreadHost("a", 1);
          SpreadHost b = new SpreadHost("b", 2)) {
        b.host.sees(a.host.entry());
        Await.until("linked", () -> a.host.isLinkedTo(b.host) && b.host.isLinkedTo(a.host));
        b.host.network.broadcast(
            new PeerMessage.DocumentReply(9, DocumentHash.of("other"), "damaged"));
        a.host.untilDelivered(b.host, 1);
        b.spread.currentRevision().activateIfNewer(revision(2));
        Await.until("later revision", () -> a.revision() == 2);
      }
    }
  }

  /** Order of announcement and application. */
  public static class Announcement {
    /** Guards against a peer that asks before the revision is in force here and gets no answer. */
    @Test
    public void documentIsHandedOutWhileItIsAnnounced() {
      EagerNetwork network = new EagerNetwork();
      RevisionDistributor spread =
          new RevisionDistributor(network, text -> Optional.of(CONFIGURATION), new SystemClock());
      network.listener = spread;
      spread.currentRevision().activateIfNewer(revision(3));
      assertEquals(
          network.sent,
          List.of(new PeerMessage.DocumentReply(3, DocumentHash.of("document 3"), "document 3")));
    }
  }

  /** Links whose peers ask for a document while it is being announced. */
  private static final class EagerNetwork implements PeerNetwork {
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
