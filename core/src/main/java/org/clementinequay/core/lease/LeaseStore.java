package org.clementinequay.core.lease;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowKey;
import org.clementinequay.core.platform.RowWrite;
import org.clementinequay.core.platform.TableService;

/** The rows of leases. A write whose answer was lost is settled by reading the row back. */
public final class LeaseStore {
  /** Table of the leases; the key is the duty. */
  public static final String TABLE = "leases";

  private final TableService table;

  /** Creates a store; it holds no state of its own. */
  public LeaseStore(TableService table) {
    this.table = Objects.requireNonNull(table);
  }

  /**
   * A row as read.
   *
   * @param version version of the row
   * @param lease its content
   */
  record Stored(long version, LeaseRecord lease) {}

  Optional<Stored> read(String duty) throws PlatformException {
    return table
        .read(key(duty))
        .map((Row row) -> new Stored(row.version(), LeaseRecord.parse(row.value())));
  }

  /**
   * Writes a lease if the row still has the version.
   *
   * @param expectedVersion version as read, {@link RowWrite#ABSENT} if there was no row
   * @return whether the lease is in the row; false means that this attempt has not been applied so
   *     far, or that another process wrote since
   * @throws PlatformException if that could not be found out; the row must be read before anything
   *     else is concluded
   */
  boolean write(String duty, long expectedVersion, LeaseRecord lease) throws PlatformException {
    RowWrite write = new RowWrite(key(duty), expectedVersion, Optional.of(lease.encode()));
    try {
      return table.commit(List.of(write)).committed();
    } catch (AnswerLostException e) {
      // Holder, fencing number and renewal count together occur in one write only.
      return read(duty).map(stored -> stored.lease().equals(lease)).orElse(false);
    }
  }

  private static RowKey key(String duty) {
    return new RowKey(TABLE, duty);
  }
}
