package org.clementinequay.server.billing;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.billing.PeerBillCopies;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;
import org.clementinequay.server.peer.PeerNetwork.Peer;

/**
 * Receives copies of the bill records of other hosts and determines which of their owners are
 * presumed dead.
 */
public final class BillCopyReceiver implements PeerNetwork.Listener {
  /**
   * Time between the loss of the link to a peer and the flush of its records. An interrupted link
   * is restored within this time, which saves the write; flushing the records of a live host would
   * do no harm.
   */
  public static final Duration FLUSH_DELAY = Duration.ofSeconds(10);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final PeerBillCopies copies;
  private final PeerNetwork network;
  private final RuntimeClock clock;
  private final ConcurrentMap<Incarnation, Long> linkLostNanosByPeer = new ConcurrentHashMap<>();

  /** Creates the receiver and registers it as a listener of the network. */
  public BillCopyReceiver(PeerBillCopies copies, PeerNetwork network, RuntimeClock clock) {
    this.copies = Objects.requireNonNull(copies);
    this.network = Objects.requireNonNull(network);
    this.clock = Objects.requireNonNull(clock);
    network.addListener(this);
  }

  /** Returns the owners whose link was lost at least {@link #FLUSH_DELAY} ago. */
  List<Incarnation> deadOwners() {
    long now = clock.nanoTime();
    return copies.owners().stream()
        .filter(owner -> linkLostNanosByPeer.containsKey(owner))
        .filter(owner -> now - linkLostNanosByPeer.get(owner) >= FLUSH_DELAY.toNanos())
        .toList();
  }

  @Override
  public void received(Peer from, PeerMessage message) {
    if (message instanceof PeerMessage.BillCopy copy) {
      storeCopy(from.incarnation(), copy);
    } else if (message instanceof PeerMessage.BillSealed sealed) {
      copies.sealed(from.incarnation(), sealed.upToSequence());
    }
  }

  private void storeCopy(Incarnation owner, PeerMessage.BillCopy copy) {
    try {
      if (copies.add(owner, copy.records())) {
        boolean ackSent = network.send(owner, new PeerMessage.BillCopyAck(copy.copyId()));
        if (!ackSent) {
          logger.atFine().log(
              "the acknowledgement of bill copy %d could not be sent to %s", copy.copyId(), owner);
        }
      } else {
        logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
            "rejected %d bill records of %s: the limit for copies is reached",
            copy.records().size(), owner);
      }
    } catch (IllegalArgumentException e) {
      logger.atWarning().withCause(e).log("rejected malformed bill records from %s", owner);
    }
  }

  @Override
  public void linked(Peer peer) {
    linkLostNanosByPeer.remove(peer.incarnation());
  }

  @Override
  public void unlinked(Peer peer) {
    linkLostNanosByPeer.put(peer.incarnation(), clock.nanoTime());
  }
}
