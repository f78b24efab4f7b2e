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

/** Hosts whose messages are delivered at once, unless a host is silent or dead. */
final class FakePeers implements CallHook {
  final ManualClock clock = new ManualClock(Instant.parse("2026-12-04T12:00:00Z"));
  final Map<Incarnation, Host> linked = new HashMap<>();
  final Set<Incarnation> silent = new HashSet<>();
  final BillStore store =
      new BillStore(new InMemoryTableService(this), new InMemoryObjectStore(CallHook.NONE));
  boolean storeDown;
  private final Random random = new Random(7);

  Host host(String domain) {
    Host host = new Host(Incarnation.random(random), domain);
    for (Host other : List.copyOf(linked.values())) {
      other.listeners.forEach(listener -> listener.linked(host.peer()));
    }
    linked.put(host.id, host);
    return host;
  }

  void kill(Host host) {
    linked.remove(host.id);
    for (Host other : linked.values()) {
      other.listeners.forEach(listener -> listener.unlinked(host.peer()));
    }
  }

  Bill bill() throws PlatformException {
    return store.read("", Instant.MIN, Instant.MAX);
  }

  @Override
  public void beforeEffect(String operation) throws PlatformException {
    if (storeDown) {
      throw new PlatformUnavailableException("scripted outage");
    }
  }

  /** One host with all parts of billing; its threads are not started. */
  final class Host implements PeerNetwork {
    final Incarnation id;
    final String domain;
    final List<Listener> listeners = new ArrayList<>();
    final BillLedger ledger;
    final PeerBillCopies copies;
    final BillReplicator replicator;
    final BillSealer sealer;
    int singles;
    private long lastRequest;

    private Host(Incarnation id, String domain) {
      this.id = id;
      this.domain = domain;
      this.ledger = new BillLedger(id);
      this.copies = new PeerBillCopies(id);
      BillingMetrics metrics =
          new BillingMetrics() {
            @Override
            public void singleCopy(int records) {
              singles += records;
            }
          };
      CopyHolderSelector choice = new CopyHolderSelector(id, domain, "pnw");
      this.replicator = new BillReplicator(ledger, this, choice, clock, metrics);
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
      lastRequest++;
      BilledAttempt attempt =
          new BilledAttempt(1, "small@1", "up-1", AttemptState.ACCEPTED, 10, 5, 15);
      return new BillRecord(
          new RequestId(id, lastRequest),
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
      return linked.values().stream().filter(host -> host != this).map(Host::peer).toList();
    }

    @Override
    public boolean send(Incarnation to, PeerMessage message) {
      Host target = linked.get(to);
      if (target == null || !linked.containsKey(id)) {
        return false;
      }
      if (!silent.contains(to) && !silent.contains(id)) {
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
