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
 * The records of one host that are not yet durable. Records are kept as lines. A batch is cut once
 * and keeps its name and content until it is written, so that repeated writes are harmless. Safe
 * for concurrent use; no method blocks on the platform.
 */
public final class BillLedger {
  /** Greatest number of records in a batch; an object of about 500 KB. */
  public static final int MAX_BATCH_RECORDS = 2000;

  /**
   * Number of records at which the host stops accepting requests. A line needs about 300 bytes, so
   * this is about 60 MB, which covers a store outage of 400 s at 500 requests a second. Records of
   * requests that were accepted before are still added, because the work has been done.
   */
  public static final int MAX_RECORDS = 200_000;

  private final Incarnation self;
  private final TreeMap<Long, String> open = new TreeMap<>();
  private BillBatch current;
  private Map<Long, String> currentRecords = Map.of();
  private long lastBatch;
  private long highest;

  /** Creates the empty ledger of a host. */
  public BillLedger(Incarnation self) {
    this.self = Objects.requireNonNull(self);
  }

  /** Returns whether the host may accept another request. */
  public synchronized boolean hasCapacity() {
    return unsealedCount() < MAX_RECORDS;
  }

  /** Returns the number of records that are not yet durable. */
  public synchronized int unsealedCount() {
    return open.size() + currentRecords.size();
  }

  /** Adds the record of a request of this host. Each request has one record. */
  public synchronized void add(BillRecord record) {
    if (!record.id().incarnation().equals(self)) {
      throw new IllegalArgumentException("record of another host: " + record.id());
    }
    open.put(record.id().sequence(), record.toLine());
    highest = Math.max(highest, record.id().sequence());
  }

  /** Returns the batch to write next, or empty if there is no record. */
  public synchronized Optional<BillBatch> batchToWrite() {
    if (current == null && !open.isEmpty()) {
      Map<Long, String> cut = new TreeMap<>();
      Iterator<Map.Entry<Long, String>> entries = open.entrySet().iterator();
      while (entries.hasNext() && cut.size() < MAX_BATCH_RECORDS) {
        Map.Entry<Long, String> entry = entries.next();
        cut.put(entry.getKey(), entry.getValue());
        entries.remove();
      }
      lastBatch++;
      currentRecords = cut;
      current = BillBatch.sealed(self, lastBatch, List.copyOf(cut.values()));
    }
    return Optional.ofNullable(current);
  }

  /** Forgets the records of a batch that is durable. */
  public synchronized void markWritten(BillBatch batch) {
    if (batch.equals(current)) {
      current = null;
      currentRecords = Map.of();
    }
  }

  /** Returns the number of records that wait for the next batch. */
  public synchronized int unbatchedCount() {
    return open.size();
  }

  /**
   * Returns the greatest request sequence up to which every record added so far is durable. It can
   * fall when a request with a smaller sequence ends later.
   */
  public synchronized long sealedUpTo() {
    long lowest = highest + 1;
    if (!open.isEmpty()) {
      lowest = Math.min(lowest, open.firstKey());
    }
    for (long sequence : currentRecords.keySet()) {
      lowest = Math.min(lowest, sequence);
    }
    return lowest - 1;
  }

  /** Returns the lines of all records that are not yet durable. */
  public synchronized List<String> unsealedLines() {
    List<String> lines = new ArrayList<>(currentRecords.values());
    lines.addAll(open.values());
    return lines;
  }
}
