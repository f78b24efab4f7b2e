package org.clementinequay.core.platform;

import java.time.Duration;

/** Gives readers the content of a table and its later changes. All calls block. */
public interface ChangeFeed {
  /**
   * Reads all rows of a table.
   *
   * @throws PlatformException if no response was received
   */
  TableSnapshot snapshot(String table) throws PlatformException;

  /**
   * Returns the changes after a revision. Blocks until there is a change or the wait has elapsed,
   * in which case the result has no rows.
   *
   * @throws HistoryLostException if the service no longer has these changes; the reader must read a
   *     new snapshot
   * @throws PlatformException if no response was received
   */
  TableSnapshot changes(String table, long afterRevision, Duration wait)
      throws PlatformException, HistoryLostException;
}
