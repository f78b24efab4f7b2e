package org.clementinequay.core.billing;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.clementinequay.core.RequestId;

/**
 * Bill records, deduplicated by request id. Neither the order in which records are added nor
 * repeated adds change the result, so batches may overlap. Not safe for concurrent use.
 */
public final class Bill {
  private final Map<RequestId, BillRecord> records =
      new TreeMap<>(
          Comparator.comparing(RequestId::incarnation).thenComparingLong(RequestId::sequence));
  private long conflicts;

  /**
   * Adds a record unless the request already has one. Two different records for one request
   * indicate a bug; they are counted as a conflict, and the record whose stored form is greater in
   * string order is kept, so that the result does not depend on the order of the calls.
   */
  public void add(BillRecord record) {
    records.merge(record.id(), record, this::resolveConflict);
  }

  private BillRecord resolveConflict(BillRecord first, BillRecord second) {
    if (first.equals(second)) {
      return first;
    }
    conflicts++;
    return first.toLine().compareTo(second.toLine()) >= 0 ? first : second;
  }

  /** Returns an unmodifiable view of the records, ordered by request id. */
  public Collection<BillRecord> records() {
    return Collections.unmodifiableCollection(records.values());
  }

  /**
   * Returns how often two different records were added for one request; 0 unless there is a bug.
   */
  public long conflictCount() {
    return conflicts;
  }

  /** Returns the total over all requests. */
  public BillTotal total() {
    return records.values().stream()
        .map(BillTotal::of)
        .reduce(new BillTotal(0, 0, 0, 0), BillTotal::plus);
  }

  /** Returns the totals by name of the client account. */
  public Map<String, BillTotal> byAccount() {
    return totalsBy(BillRecord::account);
  }

  /** Returns the totals by name of the request class. */
  public Map<String, BillTotal> byClass() {
    return totalsBy(BillRecord::requestClass);
  }

  /** Returns the totals by model version or route; their count is of attempts, not requests. */
  public Map<String, BillTotal> byTarget() {
    Map<String, BillTotal> totals = new TreeMap<>();
    for (BillRecord record : records.values()) {
      for (BilledAttempt attempt : record.attempts()) {
        totals.merge(attempt.target(), BillTotal.of(attempt), BillTotal::plus);
      }
    }
    return totals;
  }

  private Map<String, BillTotal> totalsBy(Function<BillRecord, String> groupKey) {
    Map<String, BillTotal> totals = new TreeMap<>();
    for (BillRecord record : records.values()) {
      totals.merge(groupKey.apply(record), BillTotal.of(record), BillTotal::plus);
    }
    return totals;
  }
}
