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

/** The receiving side of the copies: holds them and says which of their owners seem dead. */
public final class BillCopyReceiver implements PeerNetwork.Listener {
  /**
   * Time between the loss of a peer and the flush of its records. A link that was only cut comes
   * back within it, which saves a write; flushing the records of a live host would do no harm.
   */
  public static final Duration FLUSH_DELAY = Duration.ofSeconds(10);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final PeerBillCopies copies;
  private final PeerNetwork network;
  private final RuntimeClock clock;
  private final ConcurrentMap<Incarnation, Long> lostAtNanos = new ConcurrentHashMap<>();

  /** Creates the holder and registers it with the network. */
  public BillCopyReceiver(PeerBillCopies copies, PeerNetwork network, RuntimeClock clock) {
    this.copies = Objects.requireNonNull(copies);
    this.network = Objects.requireNonNull(network);
    this.clock = Objects.requireNonNull(clock);
    network.addListener(this);
  }

  /** Returns the owners whose records are to be flushed now. */
  List<Incarnation> deadOwners() {
    long now = clock.nanoTime();
    return copies.owners().stream()
        .filter(owner -> lostAtNanos.containsKey(owner))
        .filter(owner -> now - lostAtNanos.get(owner) >= FLUSH_DELAY.toNanos())
        .toList();
  }

  @Override
  public void received(Peer from, PeerMessage message) {
    if (message instanceof PeerMessage.BillCopy copy) {
      hold(from.incarnation(), copy);
    } else if (message instanceof PeerMessage.BillSealed sealed) {
      copies.sealed(from.incarnation(), sealed.upToSequence());
    }
  }

  private void hold(Incarnation owner, PeerMessage.BillCopy copy) {
    try {
      if (copies.add(owner, copy.records())) {
        boolean sent = network.send(owner, new PeerMessage.BillCopyAck(copy.copyId()));
        if (!sent) {
          logger.atFine().log(
              "the acknowledgement of copy %d to %s was not sent", copy.copyId(), owner);
        }
      } else {
        logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
            "no room for %d bill records of %s", copy.records().size(), owner);
      }
    } catch (IllegalArgumentException e) {
      logger.atWarning().withCause(e).log("bill records of %s cannot be read", owner);
    }
  }

  @Override
  public void linked(Peer peer) {
    lostAtNanos.remove(peer.incarnation());
  }

  @Override
  public void unlinked(Peer peer) {
    lostAtNanos.put(peer.incarnation(), clock.nanoTime());
  }
}
