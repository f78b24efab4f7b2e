package org.clementinequay.core.billing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.clementinequay.core.Incarnation;

/**
 * Copies of the bill records of other hosts, kept until their owner reports them as durable or, if
 * the owner dies, until this host has written them. Safe for concurrent use; no method blocks.
 */
public final class PeerBillCopies {
  /** Maximum number of records; about 60 MB, the same limit as {@link BillLedger#MAX_RECORDS}. */
  public static final int MAX_RECORDS = 200_000;

  private final Incarnation self;
  private final Map<Incarnation, TreeMap<Long, String>> recordsByOwner = new HashMap<>();
  private final Map<Incarnation, Long> lastFlushSequence = new HashMap<>();
  private int recordCount;

  /** Creates an empty collection on the given host. */
  public PeerBillCopies(Incarnation self) {
    this.self = Objects.requireNonNull(self);
  }

  /**
   * Adds records of another host. A record that is present already is not counted twice.
   *
   * @return false if the limit would be exceeded, in which case no record is added
   * @throws IllegalArgumentException if a line is not a bill record of the owner
   */
  public synchronized boolean add(Incarnation owner, List<String> lines) {
    if (recordCount + lines.size() > MAX_RECORDS) {
      return false;
    }
    TreeMap<Long, String> parsed = new TreeMap<>();
    for (String line : lines) {
      BillRecord record = BillRecord.parse(line);
      if (!record.id().incarnation().equals(owner)) {
        throw new IllegalArgumentException("bill record belongs to another host: " + record.id());
      }
      parsed.put(record.id().sequence(), line);
    }
    TreeMap<Long, String> records =
        recordsByOwner.computeIfAbsent(owner, unused -> new TreeMap<>());
    int sizeBefore = records.size();
    records.putAll(parsed);
    recordCount += records.size() - sizeBefore;
    return true;
  }

  /** Removes the owner's records up to and including a request sequence; they are durable. */
  public synchronized void sealed(Incarnation owner, long upToSequence) {
    TreeMap<Long, String> records = recordsByOwner.get(owner);
    if (records != null) {
      int sizeBefore = records.size();
      records.headMap(upToSequence, true).clear();
      updateCountAfterRemoval(owner, records, sizeBefore);
    }
  }

  /** Returns the next batch to write for a dead host, or empty if there are no records of it. */
  public synchronized Optional<BillBatch> batchToFlush(Incarnation dead) {
    TreeMap<Long, String> records = recordsByOwner.get(dead);
    if (records == null) {
      return Optional.empty();
    }
    List<String> lines = new ArrayList<>();
    for (String line : records.values()) {
      if (lines.size() == BillLedger.MAX_BATCH_RECORDS) {
        break;
      }
      lines.add(line);
    }
    // Every batch gets a new key, because records may have been added since a failed write and the
    // content under a key must not change.
    return Optional.of(
        BillBatch.flushed(dead, self, lastFlushSequence.merge(dead, 1L, Long::sum), lines));
  }

  /** Removes the records of a batch that was written for a dead host. */
  public synchronized void flushed(Incarnation dead, BillBatch batch) {
    TreeMap<Long, String> records = recordsByOwner.get(dead);
    if (records != null) {
      int sizeBefore = records.size();
      batch.lines().forEach(line -> records.remove(BillRecord.parse(line).id().sequence()));
      updateCountAfterRemoval(dead, records, sizeBefore);
    }
  }

  private void updateCountAfterRemoval(
      Incarnation owner, Map<Long, String> records, int sizeBefore) {
    recordCount -= sizeBefore - records.size();
    if (records.isEmpty()) {
      recordsByOwner.remove(owner);
    }
  }

  /** Returns the hosts of which there are records. */
  public synchronized List<Incarnation> owners() {
    return List.copyOf(recordsByOwner.keySet());
  }

  /** Returns the number of records of all owners. */
  public synchronized int size() {
    return recordCount;
  }
}
