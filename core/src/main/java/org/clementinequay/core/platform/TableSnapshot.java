package org.clementinequay.core.platform;

import java.util.List;

/**
 * All rows of a table at a revision, or the rows that changed after a revision and still exist.
 *
 * @param rows rows of the table
 * @param revision revision of the table, after which changes can be requested
 */
public record TableSnapshot(List<Row> rows, long revision) {
  /** Copies the list of rows. */
  public TableSnapshot {
    rows = List.copyOf(rows);
  }
}
