package org.clementinequay.server.billing;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.billing.BillLedger;
import org.clementinequay.core.billing.BillRecord;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.billing.PendingCopy.QueuedRecord;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;
import org.clementinequay.server.peer.PeerNetwork.Peer;
import org.jctools.queues.MpscArrayQueue;

/**
 * Copies bill records to another entry host, the holder, before the final event of their requests
 * is released. Records that are added within about one millisecond are sent in one message. A
 * single thread sends all copies and all reports of sealed records, so that a report never
 * overtakes a copy that it does not cover.
 */
public final class BillReplicator implements AutoCloseable {
  /** Time that a record waits for others to be sent in the same message. */
  public static final Duration BATCH_DELAY = Duration.ofMillis(1);

  /**
   * Time without an acknowledgement after which another holder is tried. The round trip between
   * failure domains of a region takes a few milliseconds, and garbage collection pauses of a holder
   * are shorter than this.
   */
  public static final Duration ACK_TIMEOUT = Duration.ofMillis(100);

  /**
   * Time after which a request is released although only this host holds its record. The work was
   * done, so a refusal would lose a complete answer, whereas the record is lost only if this host
   * dies before it seals it. Two holders are tried in this time.
   */
  public static final Duration COPY_TIMEOUT = Duration.ofMillis(200);

  /**
   * Time for which a peer that did not acknowledge in time is avoided, unless it acknowledges a
   * copy sooner.
   */
  public static final Duration PEER_BACKOFF = Duration.ofSeconds(5);

  static final int QUEUE_CAPACITY = 16_384;
  private static final int MAX_RECORDS_PER_COPY = 500;
  private static final Duration POLL_INTERVAL = Duration.ofMillis(10);
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final BillLedger ledger;
  private final PeerNetwork network;
  private final CopyHolderSelector holderSelector;
  private final RuntimeClock clock;
  private final BillingMetrics metrics;
  private final MpscArrayQueue<QueuedRecord> queue = new MpscArrayQueue<>(QUEUE_CAPACITY);
  private final ConcurrentMap<Long, PendingCopy> pendingCopies = new ConcurrentHashMap<>();
  private final Set<Incarnation> lostPeers = ConcurrentHashMap.newKeySet();
  private final Thread thread = new Thread(this::run, "bill-replicator");

  private final Map<Incarnation, Long> avoidedUntilNanos = new ConcurrentHashMap<>();

  // Accessed only by the replicator thread.
  private final Set<Incarnation> usedHolders = new HashSet<>();
  private long lastCopyId;
  private long lastResendNanos;

  private volatile boolean sealedReportDue;
  private volatile boolean resendAll;
  private volatile boolean hasSingleCopies;
  private volatile boolean idle;
  private volatile boolean closing;

  /**
   * Minimum time between attempts to copy records that were released with a single copy. A peer
   * that did not answer is avoided for longer, which limits how often all unsealed records are sent
   * again.
   */
  static final Duration RESEND_INTERVAL = Duration.ofSeconds(1);

  /** Creates the replicator and registers it as a listener of the network. */
  public BillReplicator(
      BillLedger ledger,
      PeerNetwork network,
      CopyHolderSelector holderSelector,
      RuntimeClock clock,
      BillingMetrics metrics) {
    this.ledger = Objects.requireNonNull(ledger);
    this.network = Objects.requireNonNull(network);
    this.holderSelector = Objects.requireNonNull(holderSelector);
    this.clock = Objects.requireNonNull(clock);
    this.metrics = Objects.requireNonNull(metrics);
    thread.setDaemon(true);
    network.addListener(new PeerListener());
  }

  public void start() {
    thread.start();
  }

  /**
   * Adds the record to the ledger and copies it to a holder. The future never completes
   * exceptionally; it completes within {@link #COPY_TIMEOUT}, on a thread that must not be blocked.
   */
  public CompletableFuture<CopyResult> replicate(BillRecord record) {
    ledger.add(record);
    CompletableFuture<CopyResult> result = new CompletableFuture<>();
    QueuedRecord queuedRecord = new QueuedRecord(record.toLine(), result, clock.nanoTime());
    if (closing || !queue.offer(queuedRecord)) {
      releaseWithSingleCopy(List.of(queuedRecord));
    } else if (idle) {
      LockSupport.unpark(thread);
    }
    return result;
  }

  /**
   * Schedules a report to the peers of the records that are durable; called after a batch write.
   */
  public void sealed() {
    sealedReportDue = true;
  }

  /** Copies the queued records, waits for their acknowledgements and stops the thread. */
  @Override
  public void close() {
    closing = true;
    LockSupport.unpark(thread);
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      while (!closing || !queue.isEmpty() || !pendingCopies.isEmpty() || sealedReportDue) {
        awaitWork();
        step();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      queue.drain(queuedRecord -> releaseWithSingleCopy(List.of(queuedRecord)));
    }
  }

  private void awaitWork() throws InterruptedException {
    idle = true;
    if (queue.isEmpty()) {
      LockSupport.parkNanos(this, POLL_INTERVAL.toNanos());
    }
    idle = false;
    if (Thread.interrupted()) {
      throw new InterruptedException();
    }
    if (!queue.isEmpty() && queue.size() < MAX_RECORDS_PER_COPY) {
      clock.sleep(BATCH_DELAY);
    }
  }

  /** Runs one iteration of the thread; tests call this instead of starting the thread. */
  void step() {
    try {
      replaceLostCopies();
      if (resendAll || singleCopyResendDue()) {
        resendAll = false;
        hasSingleCopies = false;
        lastResendNanos = clock.nanoTime();
        resendUnsealed(Set.of());
      }
      List<QueuedRecord> queuedRecords = new ArrayList<>();
      queue.drain(queuedRecords::add, MAX_RECORDS_PER_COPY);
      send(queuedRecords, Set.of());
      checkTimeouts();
      if (sealedReportDue) {
        sealedReportDue = false;
        network.broadcast(new PeerMessage.BillSealed(ledger.sealedUpTo()));
      }
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("copying bill records failed");
    }
  }

  /** Polled, because a slow holder keeps its link, so no event tells when it is available again. */
  private boolean singleCopyResendDue() {
    return hasSingleCopies
        && clock.nanoTime() - lastResendNanos >= RESEND_INTERVAL.toNanos()
        && holderSelector.select(network.peers(), this::isAvoided).isPresent();
  }

  private void send(List<QueuedRecord> queuedRecords, Set<Incarnation> triedHolders) {
    if (queuedRecords.isEmpty()) {
      return;
    }
    Optional<Peer> holder =
        holderSelector.select(
            network.peers(), peer -> triedHolders.contains(peer) || isAvoided(peer));
    if (holder.isEmpty()) {
      sendToAvoidedPeer(queuedRecords, triedHolders);
      releaseWithSingleCopy(queuedRecords);
      return;
    }
    sendTo(holder.get().incarnation(), queuedRecords, triedHolders);
  }

  /**
   * Sends records, whose requests do not wait for it, to a peer that was too slow before: a late
   * second copy is better than none.
   */
  private void sendToAvoidedPeer(List<QueuedRecord> queuedRecords, Set<Incarnation> triedHolders) {
    holderSelector
        .select(network.peers(), triedHolders::contains)
        .ifPresent(peer -> sendTo(peer.incarnation(), queuedRecords, triedHolders));
  }

  private void sendTo(
      Incarnation to, List<QueuedRecord> queuedRecords, Set<Incarnation> triedHolders) {
    lastCopyId++;
    PendingCopy copy = new PendingCopy(queuedRecords, to, clock.nanoTime(), triedHolders);
    // Registered before sending, because the acknowledgement may arrive immediately.
    pendingCopies.put(lastCopyId, copy);
    if (network.send(to, new PeerMessage.BillCopy(lastCopyId, copy.lines()))) {
      usedHolders.add(to);
    } else if (pendingCopies.remove(lastCopyId) != null) {
      send(queuedRecords, copy.triedHolders());
    }
  }

  private boolean isAvoided(Incarnation peer) {
    Long untilNanos = avoidedUntilNanos.get(peer);
    return untilNanos != null && clock.nanoTime() - untilNanos < 0;
  }

  private void checkTimeouts() {
    long now = clock.nanoTime();
    for (Map.Entry<Long, PendingCopy> entry : pendingCopies.entrySet()) {
      PendingCopy copy = entry.getValue();
      if (now - copy.sentNanos() >= ACK_TIMEOUT.toNanos()
          && pendingCopies.remove(entry.getKey(), copy)) {
        if (!isAvoided(copy.holder())) {
          avoidedUntilNanos.put(copy.holder(), now + PEER_BACKOFF.toNanos());
        }
        retry(copy);
      }
    }
  }

  private void retry(PendingCopy copy) {
    long now = clock.nanoTime();
    List<QueuedRecord> withinTimeout = new ArrayList<>();
    List<QueuedRecord> timedOut = new ArrayList<>();
    for (QueuedRecord queuedRecord : copy.queuedRecords()) {
      boolean isWithinTimeout = now - queuedRecord.queuedNanos() < COPY_TIMEOUT.toNanos();
      (isWithinTimeout ? withinTimeout : timedOut).add(queuedRecord);
    }
    releaseWithSingleCopy(timedOut);
    send(withinTimeout, copy.triedHolders());
  }

  private void releaseWithSingleCopy(List<QueuedRecord> queuedRecords) {
    int released = 0;
    if (!queuedRecords.isEmpty()) {
      hasSingleCopies = true;
    }
    for (QueuedRecord queuedRecord : queuedRecords) {
      released += queuedRecord.result().complete(CopyResult.SINGLE_COPY) ? 1 : 0;
    }
    if (released > 0) {
      metrics.singleCopy(released);
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "%d bill records are on this host only until they are sealed", released);
    }
  }

  /** Sends all unsealed records again if a host that held copies of them is gone. */
  private void replaceLostCopies() {
    for (Incarnation lost : List.copyOf(lostPeers)) {
      lostPeers.remove(lost);
      avoidedUntilNanos.remove(lost);
      boolean heldCopies = usedHolders.remove(lost);
      pendingCopies.forEach(
          (id, copy) -> {
            if (copy.holder().equals(lost) && pendingCopies.remove(id, copy)) {
              retry(copy);
            }
          });
      if (heldCopies) {
        resendUnsealed(Set.of(lost));
      }
    }
  }

  private void resendUnsealed(Set<Incarnation> excluded) {
    List<String> lines = ledger.unsealedLines();
    long now = clock.nanoTime();
    CompletableFuture<CopyResult> alreadyReleased =
        CompletableFuture.completedFuture(CopyResult.COPIED);
    for (int from = 0; from < lines.size(); from += MAX_RECORDS_PER_COPY) {
      List<String> chunk = lines.subList(from, Math.min(lines.size(), from + MAX_RECORDS_PER_COPY));
      send(
          chunk.stream().map(line -> new QueuedRecord(line, alreadyReleased, now)).toList(),
          excluded);
    }
  }

  /** Handles acknowledgements and link changes; called on the reader threads of the links. */
  private final class PeerListener implements PeerNetwork.Listener {
    @Override
    public void received(Peer from, PeerMessage message) {
      if (message instanceof PeerMessage.BillCopyAck ack) {
        PendingCopy copy = pendingCopies.get(ack.copyId());
        boolean expected = copy != null && copy.holder().equals(from.incarnation());
        if (expected && pendingCopies.remove(ack.copyId(), copy)) {
          avoidedUntilNanos.remove(copy.holder());
          copy.complete(CopyResult.COPIED);
          metrics.copied(copy.queuedRecords().size(), clock.nanoTime() - copy.sentNanos());
        }
      }
    }

    @Override
    public void linked(Peer peer) {
      // The peer may still hold copies from before a short loss of the link.
      sealedReportDue = true;
      if (hasSingleCopies) {
        resendAll = true;
      }
    }

    @Override
    public void unlinked(Peer peer) {
      lostPeers.add(peer.incarnation());
    }
  }
}
