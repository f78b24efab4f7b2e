package org.clementinequay.core.platform;

import java.util.List;

/**
 * All rows of a table at one moment, or the rows that changed since one.
 *
 * @param rows the rows
 * @param removedKeys keys of rows that were deleted; empty for a whole table
 * @param revision point from which later changes can be asked for
 * @param serviceMillis steady clock of the service, in milliseconds
 */
public record TableSnapshot(
    List<Row> rows, List<RowKey> removedKeys, long revision, long serviceMillis) {
  /** Copies the lists. */
  public TableSnapshot {
    rows = List.copyOf(rows);
    removedKeys = List.copyOf(removedKeys);
  }
}
