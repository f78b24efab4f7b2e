package org.clementinequay.core.platform;

import java.util.List;

/**
 * All rows of a table at one moment, or the rows that changed since one and still exist.
 *
 * @param rows the rows
 * @param revision point from which later changes can be asked for
 */
public record TableSnapshot(List<Row> rows, long revision) {
  /** Copies the list. */
  public TableSnapshot {
    rows = List.copyOf(rows);
  }
}
