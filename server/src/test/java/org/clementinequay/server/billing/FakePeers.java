package org.clementinequay.server.billing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.Outcome;
import org.clementinequay.core.RequestId;
import org.clementinequay.core.billing.AttemptState;
import org.clementinequay.core.billing.Bill;
import org.clementinequay.core.billing.BillLedger;
import org.clementinequay.core.billing.BillRecord;
import org.clementinequay.core.billing.BillStore;
import org.clementinequay.core.billing.BilledAttempt;
import org.clementinequay.core.billing.PeerBillCopies;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.core.platform.memory.CallHook;
import org.clementinequay.core.platform.memory.InMemoryObjectStore;
import org.clementinequay.core.platform.memory.InMemoryTableService;
import org.clementinequay.core.time.ManualClock;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;

/**
 * A network of hosts that delivers messages synchronously, except from and to unresponsive or dead
 * hosts.
 */
final class FakePeers implements CallHook {
  final ManualClock clock = new ManualClock(Instant.parse("2026-12-04T12:00:00Z"));
  final Map<Incarnation, Host> liveHosts = new HashMap<>();
  final Set<Incarnation> unresponsive = new HashSet<>();
  final BillStore store =
      new BillStore(new InMemoryTableService(this), new InMemoryObjectStore(CallHook.NONE));
  boolean storeDown;
  private final Random random = new Random(7);

  Host addHost(String domain) {
    Host host = new Host(Incarnation.random(random), domain);
    for (Host other : List.copyOf(liveHosts.values())) {
      other.listeners.forEach(listener -> listener.linked(host.peer()));
    }
    liveHosts.put(host.id, host);
    return host;
  }

  void kill(Host host) {
    liveHosts.remove(host.id);
    for (Host other : liveHosts.values()) {
      other.listeners.forEach(listener -> listener.unlinked(host.peer()));
    }
  }

  Bill readBill() throws PlatformException {
    return store.read("", Instant.MIN, Instant.MAX);
  }

  @Override
  public void beforeEffect(String operation) throws PlatformException {
    if (storeDown) {
      throw new PlatformUnavailableException("scripted outage");
    }
  }

  /** A host with its billing components, whose threads are not started. */
  final class Host implements PeerNetwork {
    final Incarnation id;
    final String domain;
    final List<Listener> listeners = new ArrayList<>();
    final BillLedger ledger;
    final PeerBillCopies copies;
    final BillReplicator replicator;
    final BillSealer sealer;
    int singleCopyCount;
    private long lastSequence;

    private Host(Incarnation id, String domain) {
      this.id = id;
      this.domain = domain;
      this.ledger = new BillLedger(id);
      this.copies = new PeerBillCopies(id);
      BillingMetrics metrics =
          new BillingMetrics() {
            @Override
            public void singleCopy(int records) {
              singleCopyCount += records;
            }
          };
      CopyHolderSelector holderSelector = new CopyHolderSelector(id, domain, "pnw");
      this.replicator = new BillReplicator(ledger, this, holderSelector, clock, metrics);
      this.sealer =
          BillSealer.builder()
              .ledger(ledger)
              .copies(copies)
              .copyReceiver(new BillCopyReceiver(copies, this, clock))
              .store(store)
              .replicator(replicator)
              .clock(clock)
              .build();
    }

    BillRecord record() {
      lastSequence++;
      BilledAttempt attempt =
          new BilledAttempt(1, "small@1", "up-1", AttemptState.ACCEPTED, 10, 5, 15);
      return new BillRecord(
          new RequestId(id, lastSequence),
          "labelworks",
          "flag",
          "labels",
          Outcome.RAN,
          clock.now(),
          List.of(attempt));
    }

    Peer peer() {
      return new Peer(id, id.id(), domain, "pnw", 1, 1_000_000, 1, false);
    }

    @Override
    public List<Peer> peers() {
      return liveHosts.values().stream().filter(host -> host != this).map(Host::peer).toList();
    }

    @Override
    public boolean send(Incarnation to, PeerMessage message) {
      Host target = liveHosts.get(to);
      if (target == null || !liveHosts.containsKey(id)) {
        return false;
      }
      if (!unresponsive.contains(to) && !unresponsive.contains(id)) {
        target.listeners.forEach(listener -> listener.received(peer(), message));
      }
      return true;
    }

    @Override
    public void broadcast(PeerMessage message) {
      peers().forEach(peer -> send(peer.incarnation(), message));
    }

    @Override
    public void addListener(Listener listener) {
      listeners.add(listener);
    }
  }
}
