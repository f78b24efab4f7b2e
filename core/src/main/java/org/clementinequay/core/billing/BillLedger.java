package org.clementinequay.core.billing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.clementinequay.core.Incarnation;

/**
 * The bill records of this host that are not yet durable (sealed), in their stored form. A batch is
 * assembled once and keeps its key and content until it is written, so that a write can be
 * repeated. Safe for concurrent use; no method calls the platform.
 */
public final class BillLedger {
  /** Maximum number of records in a batch, which makes an object of about 500 KB. */
  public static final int MAX_BATCH_RECORDS = 2000;

  /**
   * Number of unsealed records at which the host stops accepting requests. A line takes about 300
   * bytes, so this is about 60 MB, and covers a store outage of 400 s at 500 requests per second.
   * Records of requests that were already accepted are still added, because the work was done.
   */
  public static final int MAX_RECORDS = 200_000;

  private final Incarnation self;
  private final TreeMap<Long, String> unbatched = new TreeMap<>();
  private BillBatch currentBatch;
  private Map<Long, String> currentLines = Map.of();
  private long lastBatchSequence;
  private long highestSequence;

  /** Creates an empty ledger for the records of the given host. */
  public BillLedger(Incarnation self) {
    this.self = Objects.requireNonNull(self);
  }

  /** Returns whether the ledger is below its limit, so that the host may accept another request. */
  public synchronized boolean hasCapacity() {
    return unsealedCount() < MAX_RECORDS;
  }

  /** Returns the number of records that are not yet durable, including the current batch. */
  public synchronized int unsealedCount() {
    return unbatched.size() + currentLines.size();
  }

  /**
   * Adds the record of a request. Each request has exactly one record.
   *
   * @throws IllegalArgumentException if the request was accepted by another host
   */
  public synchronized void add(BillRecord record) {
    if (!record.id().incarnation().equals(self)) {
      throw new IllegalArgumentException("bill record belongs to another host: " + record.id());
    }
    unbatched.put(record.id().sequence(), record.toLine());
    highestSequence = Math.max(highestSequence, record.id().sequence());
  }

  /**
   * Returns the batch to write next: the current one until it is marked as written, then a new one.
   * Empty if no record is unsealed.
   */
  public synchronized Optional<BillBatch> batchToWrite() {
    if (currentBatch == null && !unbatched.isEmpty()) {
      Map<Long, String> batched = new TreeMap<>();
      Iterator<Map.Entry<Long, String>> entries = unbatched.entrySet().iterator();
      while (entries.hasNext() && batched.size() < MAX_BATCH_RECORDS) {
        Map.Entry<Long, String> entry = entries.next();
        batched.put(entry.getKey(), entry.getValue());
        entries.remove();
      }
      lastBatchSequence++;
      currentLines = batched;
      currentBatch = BillBatch.sealed(self, lastBatchSequence, List.copyOf(batched.values()));
    }
    return Optional.ofNullable(currentBatch);
  }

  /**
   * Removes the records of a batch that is durable; has no effect for any but the current batch.
   */
  public synchronized void markWritten(BillBatch batch) {
    if (batch.equals(currentBatch)) {
      currentBatch = null;
      currentLines = Map.of();
    }
  }

  /** Returns the number of records that are not yet part of a batch. */
  public synchronized int unbatchedCount() {
    return unbatched.size();
  }

  /**
   * Returns the highest request sequence up to which every record added so far is durable. The
   * value can decrease when a request with a lower sequence ends later.
   */
  public synchronized long sealedUpTo() {
    long lowestUnsealed = highestSequence + 1;
    if (!unbatched.isEmpty()) {
      lowestUnsealed = Math.min(lowestUnsealed, unbatched.firstKey());
    }
    for (long sequence : currentLines.keySet()) {
      lowestUnsealed = Math.min(lowestUnsealed, sequence);
    }
    return lowestUnsealed - 1;
  }

  /** Returns the stored forms of all records that are not yet durable, the current batch first. */
  public synchronized List<String> unsealedLines() {
    List<String> lines = new ArrayList<>(currentLines.values());
    lines.addAll(unbatched.values());
    return lines;
  }
}
