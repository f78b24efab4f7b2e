package org.clementinequay.core.platform;

import java.util.List;
import java.util.Optional;

/** The platform's transactional table service. Calls block until an answer or a timeout. */
public interface TableService {
  /**
   * Reads the latest committed state of a row.
   *
   * @throws PlatformException if no answer was received
   */
  Optional<Row> read(RowKey key) throws PlatformException;

  /**
   * Reads rows of a table in key order.
   *
   * @param keyPrefix prefix of the keys to return
   * @param afterKey returns only keys greater than this one; empty string to start at the first
   * @param limit greatest number of rows to return
   * @throws PlatformException if no answer was received
   */
  List<Row> scan(String table, String keyPrefix, String afterKey, int limit)
      throws PlatformException;

  /**
   * Applies all writes or none.
   *
   * @throws PlatformUnavailableException if nothing was written
   * @throws AnswerLostException if the writes may have taken effect
   */
  CommitResult commit(List<RowWrite> writes) throws PlatformException;
}
