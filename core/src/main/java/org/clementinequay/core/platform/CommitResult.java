package org.clementinequay.core.platform;

import java.util.List;

/**
 * Result of a transaction.
 *
 * @param committed true if all writes were applied, false if none was
 * @param conflicts keys of the rows that did not have the expected version; empty if committed
 */
public record CommitResult(boolean committed, List<RowKey> conflicts) {
  /** Copies the list of keys. */
  public CommitResult {
    conflicts = List.copyOf(conflicts);
  }
}
