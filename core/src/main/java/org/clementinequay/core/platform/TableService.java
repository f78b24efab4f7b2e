package org.clementinequay.core.platform;

import java.util.List;
import java.util.Optional;

/** The platform's transactional table service. Calls block until a response or a timeout. */
public interface TableService {
  /**
   * Reads the latest committed state of a row; empty if the row does not exist.
   *
   * @throws PlatformException if no response was received
   */
  Optional<Row> read(RowKey key) throws PlatformException;

  /**
   * Reads rows of a table in key order.
   *
   * @param keyPrefix returns only keys with this prefix
   * @param afterKey returns only keys greater than this one; an empty string starts at the first
   *     key
   * @param limit maximum number of rows to return
   * @throws PlatformException if no response was received
   */
  List<Row> scan(String table, String keyPrefix, String afterKey, int limit)
      throws PlatformException;

  /**
   * Applies all writes atomically, or none if a row does not have its expected version.
   *
   * @throws PlatformUnavailableException if nothing was written
   * @throws AnswerLostException if the writes may have taken effect
   */
  CommitResult commit(List<RowWrite> writes) throws PlatformException;
}
