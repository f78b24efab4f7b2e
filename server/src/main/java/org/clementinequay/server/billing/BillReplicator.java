package org.clementinequay.server.billing;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
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
import org.clementinequay.server.billing.PendingCopy.Entry;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;
import org.clementinequay.server.peer.PeerNetwork.Peer;
import org.jctools.queues.MpscArrayQueue;

/**
 * The thread that copies bill records to another entry host before the final event of their
 * requests is released. Records of about a millisecond travel in one message. All copies and all
 * reports of sealed records are sent by this one thread, so that a report never overtakes a copy
 * that it does not cover.
 */
public final class BillReplicator implements AutoCloseable {
  /** Time for which a record waits for others of the same message. */
  public static final Duration BATCH_DELAY = Duration.ofMillis(1);

  /**
   * Time after which another holder is tried. Failure domains of a region are a few milliseconds
   * apart, and a pause for garbage collection there stays below this.
   */
  public static final Duration ACK_TIMEOUT = Duration.ofMillis(100);

  /**
   * Time after which a request goes on with one copy. The work has run, so that a refusal would
   * lose a whole answer, whereas the record is lost only if this host dies before it seals it. Two
   * holders are tried in this time.
   */
  public static final Duration COPY_TIMEOUT = Duration.ofMillis(200);

  /** Time for which a peer that did not acknowledge is not chosen; then it is tried again. */
  public static final Duration PEER_BACKOFF = Duration.ofSeconds(5);

  static final int RING_CAPACITY = 16_384;
  private static final int MAX_LINES = 500;
  private static final Duration TICK = Duration.ofMillis(10);
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final BillLedger ledger;
  private final PeerNetwork network;
  private final CopyHolderSelector choice;
  private final RuntimeClock clock;
  private final BillingMetrics metrics;
  private final MpscArrayQueue<Entry> ring = new MpscArrayQueue<>(RING_CAPACITY);
  private final ConcurrentMap<Long, PendingCopy> pending = new ConcurrentHashMap<>();
  private final Set<Incarnation> lostPeers = ConcurrentHashMap.newKeySet();
  private final Thread thread = new Thread(this::run, "bill-replicator");

  // Used by the thread only.
  private final Map<Incarnation, Long> avoidedUntil = new HashMap<>();
  private final Set<Incarnation> holders = new HashSet<>();
  private long lastCopyId;
  private long renewedNanos;

  private volatile boolean reportSealed;
  private volatile boolean renewAll;
  private volatile boolean singleCopies;
  private volatile boolean idle;
  private volatile boolean closing;

  /**
   * Time between two tries to copy records that were released with one copy. A peer that did not
   * answer is avoided for longer, which bounds how often all unsealed records are sent again.
   */
  static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(1);

  /** Creates the replicator of a host and registers it with the network. */
  public BillReplicator(
      BillLedger ledger,
      PeerNetwork network,
      CopyHolderSelector choice,
      RuntimeClock clock,
      BillingMetrics metrics) {
    this.ledger = Objects.requireNonNull(ledger);
    this.network = Objects.requireNonNull(network);
    this.choice = Objects.requireNonNull(choice);
    this.clock = Objects.requireNonNull(clock);
    this.metrics = Objects.requireNonNull(metrics);
    thread.setDaemon(true);
    network.addListener(new Acknowledgements());
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /**
   * Adds the record to the ledger and copies it. The future never fails; it completes within {@link
   * #COPY_TIMEOUT}, on a thread that must not be blocked.
   */
  public CompletableFuture<CopyResult> replicate(BillRecord record) {
    ledger.add(record);
    CompletableFuture<CopyResult> result = new CompletableFuture<>();
    Entry entry = new Entry(record.toLine(), result, clock.nanoTime());
    if (closing || !ring.offer(entry)) {
      single(List.of(entry));
    } else if (idle) {
      LockSupport.unpark(thread);
    }
    return result;
  }

  /** Tells the peers which records are durable; called when a batch was written. */
  public void sealed() {
    reportSealed = true;
  }

  /** Copies what is in the ring and stops the thread. */
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
      while (!closing || !ring.isEmpty() || !pending.isEmpty() || reportSealed) {
        awaitWork();
        step();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      ring.drain(entry -> single(List.of(entry)));
    }
  }

  private void awaitWork() throws InterruptedException {
    idle = true;
    if (ring.isEmpty()) {
      LockSupport.parkNanos(this, TICK.toNanos());
    }
    idle = false;
    if (Thread.interrupted()) {
      throw new InterruptedException();
    }
    if (!ring.isEmpty() && ring.size() < MAX_LINES) {
      clock.sleep(BATCH_DELAY);
    }
  }

  /** One turn of the thread; tests call it instead of starting the thread. */
  void step() {
    try {
      renewLostCopies();
      if (renewAll || singleCopiesDue()) {
        renewAll = false;
        singleCopies = false;
        renewedNanos = clock.nanoTime();
        renew(Set.of());
      }
      List<Entry> entries = new ArrayList<>();
      ring.drain(entries::add, MAX_LINES);
      send(entries, Set.of());
      checkTimeouts();
      if (reportSealed) {
        reportSealed = false;
        network.broadcast(new PeerMessage.BillSealed(ledger.sealedUpTo()));
      }
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("copying bill records failed");
    }
  }

  /** A holder that was only slow keeps its link, so that no event tells when it can hold again. */
  private boolean singleCopiesDue() {
    return singleCopies
        && clock.nanoTime() - renewedNanos >= RENEWAL_INTERVAL.toNanos()
        && choice.choose(network.peers(), this::avoided).isPresent();
  }

  private void send(List<Entry> entries, Set<Incarnation> tried) {
    if (entries.isEmpty()) {
      return;
    }
    Optional<Peer> holder =
        choice.choose(network.peers(), peer -> tried.contains(peer) || avoided(peer));
    if (holder.isEmpty()) {
      single(entries);
      return;
    }
    Incarnation to = holder.get().incarnation();
    lastCopyId++;
    PendingCopy copy = new PendingCopy(entries, to, clock.nanoTime(), tried);
    // Registered before it is sent, because the acknowledgement may arrive at once.
    pending.put(lastCopyId, copy);
    if (network.send(to, new PeerMessage.BillCopy(lastCopyId, copy.lines()))) {
      holders.add(to);
    } else if (pending.remove(lastCopyId) != null) {
      send(entries, copy.tried());
    }
  }

  private boolean avoided(Incarnation peer) {
    Long until = avoidedUntil.get(peer);
    return until != null && clock.nanoTime() - until < 0;
  }

  private void checkTimeouts() {
    long now = clock.nanoTime();
    for (Map.Entry<Long, PendingCopy> entry : pending.entrySet()) {
      PendingCopy copy = entry.getValue();
      if (now - copy.sentNanos() >= ACK_TIMEOUT.toNanos() && pending.remove(entry.getKey(), copy)) {
        avoidedUntil.put(copy.holder(), now + PEER_BACKOFF.toNanos());
        retry(copy);
      }
    }
  }

  private void retry(PendingCopy copy) {
    long now = clock.nanoTime();
    List<Entry> inTime = new ArrayList<>();
    List<Entry> late = new ArrayList<>();
    for (Entry entry : copy.entries()) {
      boolean hasTime = now - entry.addedNanos() < COPY_TIMEOUT.toNanos();
      (hasTime ? inTime : late).add(entry);
    }
    single(late);
    send(inTime, copy.tried());
  }

  private void single(List<Entry> entries) {
    int released = 0;
    if (!entries.isEmpty()) {
      singleCopies = true;
    }
    for (Entry entry : entries) {
      released += entry.result().complete(CopyResult.SINGLE_COPY) ? 1 : 0;
    }
    if (released > 0) {
      metrics.singleCopy(released);
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "%d bill records are on this host only until they are sealed", released);
    }
  }

  /** Sends all unsealed records again where the host that held their copies is gone. */
  private void renewLostCopies() {
    for (Incarnation lost : List.copyOf(lostPeers)) {
      lostPeers.remove(lost);
      avoidedUntil.remove(lost);
      boolean held = holders.remove(lost);
      pending.forEach(
          (id, copy) -> {
            if (copy.holder().equals(lost) && pending.remove(id, copy)) {
              retry(copy);
            }
          });
      if (held) {
        renew(Set.of(lost));
      }
    }
  }

  private void renew(Set<Incarnation> excluded) {
    List<String> lines = ledger.unsealedLines();
    long now = clock.nanoTime();
    CompletableFuture<CopyResult> released = CompletableFuture.completedFuture(CopyResult.COPIED);
    for (int from = 0; from < lines.size(); from += MAX_LINES) {
      List<String> part = lines.subList(from, Math.min(lines.size(), from + MAX_LINES));
      send(part.stream().map(line -> new Entry(line, released, now)).toList(), excluded);
    }
  }

  /** Completes what holders acknowledge; called on the reader threads of the links. */
  private final class Acknowledgements implements PeerNetwork.Listener {
    @Override
    public void received(Peer from, PeerMessage message) {
      if (message instanceof PeerMessage.BillCopyAck ack) {
        PendingCopy copy = pending.get(ack.copyId());
        boolean expected = copy != null && copy.holder().equals(from.incarnation());
        if (expected && pending.remove(ack.copyId(), copy)) {
          copy.complete(CopyResult.COPIED);
          metrics.copied(copy.entries().size(), clock.nanoTime() - copy.sentNanos());
        }
      }
    }

    @Override
    public void linked(Peer peer) {
      // The peer may hold records since before a short loss of the link.
      reportSealed = true;
      if (singleCopies) {
        renewAll = true;
      }
    }

    @Override
    public void unlinked(Peer peer) {
      lostPeers.add(peer.incarnation());
    }
  }
}
