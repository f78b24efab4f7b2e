package org.clementinequay.server.billing;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.billing.BillBatch;
import org.clementinequay.core.billing.BillLedger;
import org.clementinequay.core.billing.BillStore;
import org.clementinequay.core.billing.PeerBillCopies;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.time.RuntimeClock;

/**
 * The thread that makes bill records durable: those of this host in sealed batches, and those of
 * dead hosts whose copies this host holds. A write that fails is repeated until it succeeds.
 */
public final class BillSealer implements AutoCloseable {
  /**
   * Longest time that a record waits for its batch. At 9 hosts this makes 2 commits a second; a
   * longer wait would only enlarge what is lost when both holders of a record die.
   */
  public static final Duration SEAL_INTERVAL = Duration.ofSeconds(5);

  /** Time that a shutdown waits for the store; after it, the peers flush what is left. */
  public static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(30);

  private static final Duration TICK = Duration.ofMillis(100);
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final BillLedger ledger;
  private final PeerBillCopies copies;
  private final BillCopyReceiver copyReceiver;
  private final BillStore store;
  private final BillReplicator replicator;
  private final RuntimeClock clock;
  private final BillingMetrics metrics;
  private final Thread thread = new Thread(this::run, "bill-sealer");
  private long lastSealNanos;
  private volatile boolean closing;

  private BillSealer(Builder builder) {
    this.ledger = Objects.requireNonNull(builder.ledger);
    this.copies = Objects.requireNonNull(builder.copies);
    this.copyReceiver = Objects.requireNonNull(builder.copyReceiver);
    this.store = Objects.requireNonNull(builder.store);
    this.replicator = Objects.requireNonNull(builder.replicator);
    this.clock = Objects.requireNonNull(builder.clock);
    this.metrics = Objects.requireNonNull(builder.metrics);
    this.lastSealNanos = clock.nanoTime();
    thread.setDaemon(true);
  }

  /** Returns a builder; every part but the metrics is required. */
  public static Builder builder() {
    return new Builder();
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /**
   * Seals all records and stops the thread. To be called before the replicator is closed, which
   * still reports the last batch to the peers, and after the last request has ended.
   */
  @Override
  public void close() {
    closing = true;
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      while (!closing) {
        step();
        clock.sleep(TICK);
      }
      long limit = clock.nanoTime() + SHUTDOWN_TIMEOUT.toNanos();
      while (ledger.unsealedCount() > 0 && clock.nanoTime() - limit < 0) {
        if (!sealAll()) {
          clock.sleep(TICK);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (ledger.unsealedCount() > 0) {
      logger.atSevere().log(
          "%d bill records were not sealed before the shutdown; the peers that hold copies flush"
              + " them",
          ledger.unsealedCount());
    }
  }

  /** One turn of the thread; tests call it instead of starting the thread. */
  void step() {
    try {
      sealAndFlush();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).atMostEvery(10, TimeUnit.SECONDS).log("sealing failed");
    }
  }

  private void sealAndFlush() {
    boolean due = clock.nanoTime() - lastSealNanos >= SEAL_INTERVAL.toNanos();
    if ((due || ledger.unbatchedCount() >= BillLedger.MAX_BATCH_RECORDS) && sealAll()) {
      lastSealNanos = clock.nanoTime();
    }
    for (Incarnation dead : copyReceiver.deadOwners()) {
      flushAll(dead);
    }
  }

  private boolean sealAll() {
    while (true) {
      Optional<BillBatch> batch = ledger.batchToWrite();
      if (batch.isEmpty()) {
        return true;
      }
      if (!write(batch.get())) {
        return false;
      }
      ledger.markWritten(batch.get());
      replicator.sealed();
      metrics.sealed(batch.get().lines().size());
    }
  }

  private void flushAll(Incarnation dead) {
    while (true) {
      Optional<BillBatch> batch = copies.batchToFlush(dead);
      if (batch.isEmpty() || !write(batch.get())) {
        return;
      }
      copies.flushed(dead, batch.get());
      metrics.flushed(batch.get().lines().size());
      logger.atInfo().log(
          "flushed %d bill records of dead host %s", batch.get().lines().size(), dead);
    }
  }

  private boolean write(BillBatch batch) {
    try {
      store.write(batch);
      return true;
    } catch (PlatformException e) {
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "bills cannot be written, %d records wait: %s", ledger.unsealedCount(), e.getMessage());
      return false;
    }
  }

  /** Collects the parts. */
  public static final class Builder {
    private BillLedger ledger;
    private PeerBillCopies copies;
    private BillCopyReceiver copyReceiver;
    private BillStore store;
    private BillReplicator replicator;
    private RuntimeClock clock;
    private BillingMetrics metrics = BillingMetrics.NONE;

    private Builder() {}

    /** Sets the records of this host. */
    public Builder ledger(BillLedger value) {
      ledger = value;
      return this;
    }

    /** Sets the records of other hosts. */
    public Builder copies(PeerBillCopies value) {
      copies = value;
      return this;
    }

    /** Sets the part that knows the dead hosts. */
    public Builder copyReceiver(BillCopyReceiver value) {
      copyReceiver = value;
      return this;
    }

    /** Sets where batches are written. */
    public Builder store(BillStore value) {
      store = value;
      return this;
    }

    /** Sets the part that reports sealed records. */
    public Builder replicator(BillReplicator value) {
      replicator = value;
      return this;
    }

    /** Sets the clock. */
    public Builder clock(RuntimeClock value) {
      clock = value;
      return this;
    }

    /** Sets the receiver of figures. */
    public Builder metrics(BillingMetrics value) {
      metrics = value;
      return this;
    }

    /** Returns the sealer, not started. */
    public BillSealer build() {
      return new BillSealer(this);
    }
  }
}
