package org.clementinequay.server.peer;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.spread.CurrentRevision;
import org.clementinequay.core.spread.DocumentHash;
import org.clementinequay.core.spread.DocumentParser;
import org.clementinequay.core.time.RuntimeClock;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/**
 * Spreads configuration revisions between entry hosts: announces newer ones, hands out the document
 * in force, and fetches documents from peers. A heartbeat with a newer revision has the same effect
 * as an announcement, so that a lost announcement delays a host by one heartbeat at most. Documents
 * are parsed on the duty thread {@code peer-revisions}, because listeners must not block.
 */
public final class RevisionDistributor implements PeerNetwork.Listener, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Time after which another peer is asked for the same revision; a full mesh announces a revision
   * dozens of times, and one document is enough.
   */
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(500);

  /** Peers that are asked at once when the object store has no document. */
  private static final int PEERS_ASKED = 2;

  /** Documents waiting to be parsed; one per request is usual. */
  private static final int QUEUE = 16;

  private final PeerNetwork network;
  private final DocumentParser parser;
  private final RuntimeClock clock;
  private final CurrentRevision keeper;
  private final MpscBlockingConsumerArrayQueue<PeerMessage.DocumentReply> replies =
      new MpscBlockingConsumerArrayQueue<>(QUEUE);
  private Thread worker;
  private volatile RevisionedConfiguration announced;
  private long requestedRevision;
  private long requestedNanos;

  /** Creates the spread with its keeper; nothing happens before {@link #start}. */
  public RevisionDistributor(PeerNetwork network, DocumentParser parser, RuntimeClock clock) {
    this.network = Objects.requireNonNull(network);
    this.parser = Objects.requireNonNull(parser);
    this.clock = Objects.requireNonNull(clock);
    this.keeper = new CurrentRevision(this::announce);
  }

  /** Returns the revision in force on this host. */
  public CurrentRevision currentRevision() {
    return keeper;
  }

  /** Starts the duty thread and listens to the peers. */
  public synchronized RevisionDistributor start() {
    worker = Threads.start("peer-revisions", this::work);
    network.addListener(this);
    return this;
  }

  @Override
  public synchronized void close() {
    if (worker != null) {
      worker.interrupt();
    }
  }

  private void announce(RevisionedConfiguration offered) {
    // Peers ask for the document as soon as they hear of it, which may be before it is applied.
    announced = offered;
    network.broadcast(new PeerMessage.RevisionAnnounced(offered.revision(), offered.hash()));
  }

  /** Asks the nearest peers that are known to have at least this revision. */
  public void requestFromPeers(long revision) {
    network.peers().stream()
        .filter(peer -> peer.revision() >= revision)
        .sorted(Comparator.comparingLong(PeerNetwork.Peer::roundTripNanos))
        .limit(PEERS_ASKED)
        .forEach(
            peer -> network.send(peer.incarnation(), new PeerMessage.DocumentRequest(revision)));
  }

  @Override
  public void received(PeerNetwork.Peer from, PeerMessage message) {
    if (message instanceof PeerMessage.Heartbeat heartbeat) {
      noticed(from.incarnation(), heartbeat.revision());
    } else if (message instanceof PeerMessage.RevisionAnnounced newer) {
      noticed(from.incarnation(), newer.revision());
    } else if (message instanceof PeerMessage.DocumentRequest request) {
      answer(from.incarnation(), request.revision());
    } else if (message instanceof PeerMessage.DocumentReply reply && !replies.offer(reply)) {
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
          "dropping the document of revision %d: too many wait; it will be asked for again",
          reply.revision());
    }
  }

  @Override
  public void linked(PeerNetwork.Peer peer) {
    noticed(peer.incarnation(), peer.revision());
    keeper
        .configuration()
        .ifPresent(
            inForce ->
                network.send(
                    peer.incarnation(),
                    new PeerMessage.RevisionAnnounced(inForce.revision(), inForce.hash())));
  }

  private void noticed(Incarnation peer, long revision) {
    if (revision > keeper.number() && isDue(revision)) {
      network.send(peer, new PeerMessage.DocumentRequest(revision));
    }
  }

  private synchronized boolean isDue(long revision) {
    long now = clock.nanoTime();
    if (revision <= requestedRevision && now - requestedNanos < REQUEST_TIMEOUT.toNanos()) {
      return false;
    }
    requestedRevision = revision;
    requestedNanos = now;
    return true;
  }

  private void answer(Incarnation peer, long revision) {
    RevisionedConfiguration newest = announced;
    if (newest != null && newest.revision() >= revision) {
      network.send(
          peer, new PeerMessage.DocumentReply(newest.revision(), newest.hash(), newest.text()));
    }
  }

  private void work() {
    while (!Thread.currentThread().isInterrupted()) {
      try {
        activate(replies.take());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("cannot take up a document of a peer");
      }
    }
  }

  private void activate(PeerMessage.DocumentReply reply) {
    if (reply.revision() <= keeper.number()) {
      return;
    }
    if (!DocumentHash.of(reply.text()).equals(reply.hash())) {
      logger.atWarning().log("document of revision %d has another hash", reply.revision());
      return;
    }
    Optional<RouterConfiguration> configuration = parser.parse(reply.text());
    if (configuration.isEmpty()) {
      logger.atWarning().log("document of revision %d is not understood here", reply.revision());
      return;
    }
    keeper.activateIfNewer(
        new RevisionedConfiguration(
            reply.revision(), reply.hash(), reply.text(), configuration.get()));
  }
}
