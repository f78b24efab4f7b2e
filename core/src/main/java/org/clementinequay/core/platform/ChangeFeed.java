package org.clementinequay.core.platform;

import java.time.Duration;

/** Whole tables and their changes, for readers that follow a table. Calls block. */
public interface ChangeFeed {
  /**
   * Reads a whole table.
   *
   * @throws PlatformException if no answer was received
   */
  TableSnapshot snapshot(String table) throws PlatformException;

  /**
   * Returns the changes after a revision as soon as there are any, and none after the wait.
   *
   * @throws HistoryLostException if the changes are no longer known; read a snapshot instead
   * @throws PlatformException if no answer was received
   */
  TableSnapshot changes(String table, long afterRevision, Duration wait)
      throws PlatformException, HistoryLostException;
}
