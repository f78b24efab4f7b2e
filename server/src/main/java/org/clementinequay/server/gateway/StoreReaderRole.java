package org.clementinequay.server.gateway;

import java.util.List;
import org.clementinequay.core.spread.StoreReaders;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.peer.PeerIdentity;
import org.clementinequay.server.peer.PeerNetwork;

/** Determines by the links of this host whether it reads the store for its failure domain. */
final class StoreReaderRole {
  /** Time for which a decision is kept, in nanoseconds. */
  private static final long DECISION_NANOS = 500_000_000L;

  private final PeerIdentity self;
  private final PeerNetwork peers;
  private final RuntimeClock clock;
  private final DecisionLog log;
  private boolean decided;
  private boolean reader;
  private long decidedNanos;

  StoreReaderRole(PeerIdentity self, PeerNetwork peers, RuntimeClock clock, DecisionLog log) {
    this.self = self;
    this.peers = peers;
    this.clock = clock;
    this.log = log;
  }

  synchronized boolean isReader() {
    long now = clock.nanoTime();
    if (decided && now - decidedNanos < DECISION_NANOS) {
      return reader;
    }
    List<StoreReaders.Candidate> linked =
        peers.peers().stream()
            .filter(peer -> isNear(peer) && !peer.leaving())
            .map(peer -> new StoreReaders.Candidate(peer.host(), peer.weight()))
            .toList();
    boolean before = reader;
    reader = StoreReaders.isReader(new StoreReaders.Candidate(self.host(), self.weight()), linked);
    if (!decided || before != reader) {
      log.record("store_reader", "reads", reader, "linked_in_domain", linked.size());
    }
    decided = true;
    decidedNanos = now;
    return reader;
  }

  /** Returns true for each peer, also one of another failure domain. */
  static boolean isAny(PeerNetwork.Peer peer) {
    return true;
  }

  /** Returns whether a peer is in the failure domain of this host. */
  boolean isNear(PeerNetwork.Peer peer) {
    return peer.domain().equals(self.domain());
  }
}
