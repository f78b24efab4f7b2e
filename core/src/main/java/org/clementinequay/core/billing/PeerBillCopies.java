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
 * Copies of other hosts' records, held until the owner reports them durable or is dead. Safe for
 * concurrent use; no method blocks.
 */
public final class PeerBillCopies {
  /** Greatest number of records held; about 60 MB, like the ledger's own limit. */
  public static final int MAX_RECORDS = 200_000;

  private final Incarnation self;
  private final Map<Incarnation, TreeMap<Long, String>> held = new HashMap<>();
  private final Map<Incarnation, Long> lastFlush = new HashMap<>();
  private int count;

  /** Creates an empty holder. */
  public PeerBillCopies(Incarnation self) {
    this.self = Objects.requireNonNull(self);
  }

  /**
   * Holds the records of a copy. A record that is held already is not counted again.
   *
   * @return false if there is no room; nothing was taken then
   * @throws IllegalArgumentException if a line is not a record of the owner
   */
  public synchronized boolean add(Incarnation owner, List<String> lines) {
    if (count + lines.size() > MAX_RECORDS) {
      return false;
    }
    TreeMap<Long, String> parsed = new TreeMap<>();
    for (String line : lines) {
      BillRecord record = BillRecord.parse(line);
      if (!record.id().incarnation().equals(owner)) {
        throw new IllegalArgumentException("record of another host: " + record.id());
      }
      parsed.put(record.id().sequence(), line);
    }
    TreeMap<Long, String> records = held.computeIfAbsent(owner, unused -> new TreeMap<>());
    int before = records.size();
    records.putAll(parsed);
    count += records.size() - before;
    return true;
  }

  /** Forgets the owner's records up to a request sequence, which are durable. */
  public synchronized void removeSealed(Incarnation owner, long upToSequence) {
    TreeMap<Long, String> records = held.get(owner);
    if (records != null) {
      int before = records.size();
      records.headMap(upToSequence, true).clear();
      forgetIfEmpty(owner, records, before);
    }
  }

  /** Returns the next batch to write for a dead host, or empty if nothing of it is held. */
  public synchronized Optional<BillBatch> batchToFlush(Incarnation dead) {
    TreeMap<Long, String> records = held.get(dead);
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
    // Each try has a name of its own, because the content may have grown since the last one.
    return Optional.of(BillBatch.flushed(dead, self, lastFlush.merge(dead, 1L, Long::sum), lines));
  }

  /** Forgets the records of a batch that was written for a dead host. */
  public synchronized void removeFlushed(Incarnation dead, BillBatch batch) {
    TreeMap<Long, String> records = held.get(dead);
    if (records != null) {
      int before = records.size();
      batch.lines().forEach(line -> records.remove(BillRecord.parse(line).id().sequence()));
      forgetIfEmpty(dead, records, before);
    }
  }

  private void forgetIfEmpty(Incarnation owner, Map<Long, String> records, int before) {
    count -= before - records.size();
    if (records.isEmpty()) {
      held.remove(owner);
    }
  }

  /** Returns the owners of the records held. */
  public synchronized List<Incarnation> owners() {
    return List.copyOf(held.keySet());
  }

  /** Returns the number of records held. */
  public synchronized int size() {
    return count;
  }
}
