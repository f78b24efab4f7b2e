package org.clementinequay.core.platform;

import java.util.List;

/**
 * Answer to a transaction.
 *
 * @param committed whether all writes were applied; otherwise none was
 * @param conflicts rows whose version was not the expected one; empty if committed
 */
public record CommitResult(boolean committed, List<RowKey> conflicts) {
  /** Copies the list. */
  public CommitResult {
    conflicts = List.copyOf(conflicts);
  }
}
