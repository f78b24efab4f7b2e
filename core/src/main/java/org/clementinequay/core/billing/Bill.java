package org.clementinequay.core.billing;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.clementinequay.core.RequestId;

/**
 * The union of records by request id. Adding a record twice, or in another order, gives the same
 * bill, so that batches may overlap. Not safe for concurrent use.
 */
public final class Bill {
  private final Map<RequestId, BillRecord> records =
      new TreeMap<>(
          Comparator.comparing(RequestId::incarnation).thenComparingLong(RequestId::sequence));
  private long contradictions;

  /**
   * Adds a record unless the request is billed already. Two different records for one request are a
   * fault of the program; they are counted, and the one whose line is greater is kept so that the
   * result does not depend on the order.
   */
  public void add(BillRecord record) {
    records.merge(record.id(), record, this::resolve);
  }

  private BillRecord resolve(BillRecord first, BillRecord second) {
    if (first.equals(second)) {
      return first;
    }
    contradictions++;
    return first.toLine().compareTo(second.toLine()) >= 0 ? first : second;
  }

  /** Returns the records in the order of their ids. */
  public Collection<BillRecord> records() {
    return Collections.unmodifiableCollection(records.values());
  }

  /** Returns how often two different records for one request were met; 0 in a correct run. */
  public long conflictCount() {
    return contradictions;
  }

  /** Returns the sum over all requests. */
  public BillTotal total() {
    return records.values().stream()
        .map(BillTotal::of)
        .reduce(new BillTotal(0, 0, 0, 0), BillTotal::plus);
  }

  /** Returns the sums per client account. */
  public Map<String, BillTotal> byAccount() {
    return totals(BillRecord::account);
  }

  /** Returns the sums per request class. */
  public Map<String, BillTotal> byClass() {
    return totals(BillRecord::requestClass);
  }

  /** Returns the sums per version or route; they count attempts. */
  public Map<String, BillTotal> byTarget() {
    Map<String, BillTotal> totals = new TreeMap<>();
    for (BillRecord record : records.values()) {
      for (BilledAttempt attempt : record.attempts()) {
        totals.merge(attempt.target(), BillTotal.of(attempt), BillTotal::plus);
      }
    }
    return totals;
  }

  private Map<String, BillTotal> totals(Function<BillRecord, String> group) {
    Map<String, BillTotal> totals = new TreeMap<>();
    for (BillRecord record : records.values()) {
      totals.merge(group.apply(record), BillTotal.of(record), BillTotal::plus);
    }
    return totals;
  }
}
