package org.clementinequay.core.platform;

import java.util.List;

/**
 * All rows of a table at a revision, or the rows that changed after a revision and still exist.
 *
 * @param rows rows of the table
 * @param removed keys of the rows that were removed after the revision; empty if all rows were read
 * @param revision revision of the table, after which changes can be requested
 * @param storeMillis time at which the rows were current, by the steady clock of the store in
 *     milliseconds; 0 if it states none
 */
public record TableSnapshot(List<Row> rows, List<RowKey> removed, long revision, long storeMillis) {
  /** Copies the lists. */
  public TableSnapshot {
    rows = List.copyOf(rows);
    removed = List.copyOf(removed);
  }
}
