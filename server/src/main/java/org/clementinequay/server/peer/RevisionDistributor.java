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
 * Distributes configuration revisions between entry hosts: announces newer revisions, sends the
 * newest document to peers that request it, and requests documents from peers. A heartbeat with a
 * newer revision has the same effect as an announcement, so that a lost announcement delays a host
 * by one heartbeat at most. Documents are parsed on the thread {@code peer-revisions}, because
 * listeners must not block.
 */
public final class RevisionDistributor implements PeerNetwork.Listener, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Time after which the same revision may be requested again. In a full mesh, a host receives
   * dozens of announcements of a revision but needs its document only once.
   */
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(500);

  /** Number of peers asked at the same time if the object store does not have the document. */
  private static final int MAX_PEERS_ASKED = 2;

  /** Maximum number of documents waiting to be parsed; usually there is one for each request. */
  private static final int MAX_QUEUED_REPLIES = 16;

  private final PeerNetwork network;
  private final DocumentParser parser;
  private final RuntimeClock clock;
  private final CurrentRevision currentRevision;
  private final MpscBlockingConsumerArrayQueue<PeerMessage.DocumentReply> replies =
      new MpscBlockingConsumerArrayQueue<>(MAX_QUEUED_REPLIES);
  private Thread worker;
  private volatile RevisionedConfiguration newestAnnounced;
  private long requestedRevision;
  private long requestedNanos;

  /**
   * Creates a distributor without a revision; it neither sends nor receives before {@link #start}.
   */
  public RevisionDistributor(PeerNetwork network, DocumentParser parser, RuntimeClock clock) {
    this.network = Objects.requireNonNull(network);
    this.parser = Objects.requireNonNull(parser);
    this.clock = Objects.requireNonNull(clock);
    this.currentRevision = new CurrentRevision(this::announce);
  }

  /** Returns the revision in force on this host. */
  public CurrentRevision currentRevision() {
    return currentRevision;
  }

  /** Starts the thread that parses documents and listens to the peers. */
  public synchronized RevisionDistributor start() {
    worker = DaemonThreads.start("peer-revisions", this::processReplies);
    network.addListener(this);
    return this;
  }

  @Override
  public synchronized void close() {
    if (worker != null) {
      worker.interrupt();
    }
  }

  private void announce(RevisionedConfiguration newer) {
    // Peers may request the document before it is applied here.
    newestAnnounced = newer;
    network.broadcast(new PeerMessage.RevisionAnnounced(newer.revision(), newer.hash()));
  }

  /** Requests a document from the nearest peers that are known to have at least this revision. */
  public void requestFromPeers(long revision) {
    network.peers().stream()
        .filter(peer -> peer.revision() >= revision)
        .sorted(Comparator.comparingLong(PeerNetwork.Peer::roundTripNanos))
        .limit(MAX_PEERS_ASKED)
        .forEach(
            peer -> network.send(peer.incarnation(), new PeerMessage.DocumentRequest(revision)));
  }

  @Override
  public void received(PeerNetwork.Peer from, PeerMessage message) {
    if (message instanceof PeerMessage.Heartbeat heartbeat) {
      requestIfNewer(from.incarnation(), heartbeat.revision());
    } else if (message instanceof PeerMessage.RevisionAnnounced announcement) {
      requestIfNewer(from.incarnation(), announcement.revision());
    } else if (message instanceof PeerMessage.DocumentRequest request) {
      sendDocument(from.incarnation(), request.revision());
    } else if (message instanceof PeerMessage.DocumentReply reply && !replies.offer(reply)) {
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
          "dropping the document of revision %d: the queue is full; it will be requested again",
          reply.revision());
    }
  }

  @Override
  public void linked(PeerNetwork.Peer peer) {
    requestIfNewer(peer.incarnation(), peer.revision());
    currentRevision
        .configuration()
        .ifPresent(
            inForce ->
                network.send(
                    peer.incarnation(),
                    new PeerMessage.RevisionAnnounced(inForce.revision(), inForce.hash())));
  }

  private void requestIfNewer(Incarnation peer, long revision) {
    if (revision > currentRevision.number() && tryStartRequest(revision)) {
      network.send(peer, new PeerMessage.DocumentRequest(revision));
    }
  }

  private synchronized boolean tryStartRequest(long revision) {
    long now = clock.nanoTime();
    if (revision <= requestedRevision && now - requestedNanos < REQUEST_TIMEOUT.toNanos()) {
      return false;
    }
    requestedRevision = revision;
    requestedNanos = now;
    return true;
  }

  private void sendDocument(Incarnation peer, long revision) {
    RevisionedConfiguration newest = newestAnnounced;
    if (newest != null && newest.revision() >= revision) {
      network.send(
          peer, new PeerMessage.DocumentReply(newest.revision(), newest.hash(), newest.text()));
    }
  }

  private void processReplies() {
    while (!Thread.currentThread().isInterrupted()) {
      try {
        activate(replies.take());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("cannot process a document from a peer");
      }
    }
  }

  private void activate(PeerMessage.DocumentReply reply) {
    if (reply.revision() <= currentRevision.number()) {
      return;
    }
    if (!DocumentHash.of(reply.text()).equals(reply.hash())) {
      logger.atWarning().log(
          "ignoring the document of revision %d: its hash does not match", reply.revision());
      return;
    }
    Optional<RouterConfiguration> configuration = parser.parse(reply.text());
    if (configuration.isEmpty()) {
      logger.atWarning().log(
          "ignoring the document of revision %d: this release cannot parse it", reply.revision());
      return;
    }
    currentRevision.activateIfNewer(
        new RevisionedConfiguration(
            reply.revision(), reply.hash(), reply.text(), configuration.get()));
  }
}
