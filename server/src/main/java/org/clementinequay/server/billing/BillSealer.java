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
 * Makes bill records durable on its own thread: it seals the records of this host, which means that
 * it writes them to the store in batches, and flushes the records of dead hosts of which this host
 * holds copies. A failed write is repeated until it succeeds.
 */
public final class BillSealer implements AutoCloseable {
  /**
   * Maximum time that a record waits for its batch. With 9 hosts this causes 2 commits per second;
   * a longer interval would only increase the number of records that are lost if the host and the
   * peer that holds its copies both die.
   */
  public static final Duration SEAL_INTERVAL = Duration.ofSeconds(5);

  /** Time for which a shutdown retries the store; afterwards the peers flush the rest. */
  public static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(30);

  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
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

  /** Returns a builder; every property except the metrics is required. */
  public static Builder builder() {
    return new Builder();
  }

  public void start() {
    thread.start();
  }

  /**
   * Seals all records and stops the thread. Must be called after the last request has ended, and
   * before the replicator is closed, because the replicator reports the last batch to the peers.
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
        clock.sleep(POLL_INTERVAL);
      }
      long deadlineNanos = clock.nanoTime() + SHUTDOWN_TIMEOUT.toNanos();
      while (ledger.unsealedCount() > 0 && clock.nanoTime() - deadlineNanos < 0) {
        if (!writeAllBatches()) {
          clock.sleep(POLL_INTERVAL);
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

  /** Runs one iteration of the thread; tests call this instead of starting the thread. */
  void step() {
    try {
      sealAndFlush();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).atMostEvery(10, TimeUnit.SECONDS).log(
          "sealing or flushing bill records failed");
    }
  }

  private void sealAndFlush() {
    boolean intervalElapsed = clock.nanoTime() - lastSealNanos >= SEAL_INTERVAL.toNanos();
    if ((intervalElapsed || ledger.unbatchedCount() >= BillLedger.MAX_BATCH_RECORDS)
        && writeAllBatches()) {
      lastSealNanos = clock.nanoTime();
    }
    for (Incarnation deadHost : copyReceiver.deadOwners()) {
      flushCopies(deadHost);
    }
  }

  private boolean writeAllBatches() {
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

  private void flushCopies(Incarnation deadHost) {
    while (true) {
      Optional<BillBatch> batch = copies.batchToFlush(deadHost);
      if (batch.isEmpty() || !write(batch.get())) {
        return;
      }
      copies.flushed(deadHost, batch.get());
      metrics.flushed(batch.get().lines().size());
      logger.atInfo().log(
          "flushed %d bill records of dead host %s", batch.get().lines().size(), deadHost);
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

  /** Builds a sealer. */
  public static final class Builder {
    private BillLedger ledger;
    private PeerBillCopies copies;
    private BillCopyReceiver copyReceiver;
    private BillStore store;
    private BillReplicator replicator;
    private RuntimeClock clock;
    private BillingMetrics metrics = BillingMetrics.NONE;

    private Builder() {}

    /** Sets the ledger with the records of this host. */
    public Builder ledger(BillLedger value) {
      ledger = value;
      return this;
    }

    /** Sets the copies of the records of other hosts. */
    public Builder copies(PeerBillCopies value) {
      copies = value;
      return this;
    }

    /** Sets the receiver that determines which hosts are dead. */
    public Builder copyReceiver(BillCopyReceiver value) {
      copyReceiver = value;
      return this;
    }

    /** Sets the store that batches are written to. */
    public Builder store(BillStore value) {
      store = value;
      return this;
    }

    /** Sets the replicator that reports sealed records to the peers. */
    public Builder replicator(BillReplicator value) {
      replicator = value;
      return this;
    }

    public Builder clock(RuntimeClock value) {
      clock = value;
      return this;
    }

    /** Sets the receiver of counts; by default they are ignored. */
    public Builder metrics(BillingMetrics value) {
      metrics = value;
      return this;
    }

    /** Returns the sealer; its thread is not started. */
    public BillSealer build() {
      return new BillSealer(this);
    }
  }
}
