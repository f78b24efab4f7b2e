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

/** Reads and writes lease rows. After a write whose answer was lost, the row is read back. */
public final class LeaseStore {
  /** Name of the table; the key of a row is the name of the duty. */
  public static final String TABLE = "leases";

  private final TableService table;

  /** Creates a store, which keeps no state in memory. */
  public LeaseStore(TableService table) {
    this.table = Objects.requireNonNull(table);
  }

  /**
   * Lease row as read from the table.
   *
   * @param version row version, for conditional writes
   * @param lease content of the row
   */
  record StoredLease(long version, LeaseRecord lease) {}

  Optional<StoredLease> read(String duty) throws PlatformException {
    return table
        .read(key(duty))
        .map((Row row) -> new StoredLease(row.version(), LeaseRecord.parse(row.value())));
  }

  /**
   * Writes a lease if the row still has the version.
   *
   * @param expectedVersion version as read, {@link RowWrite#ABSENT} if there was no row
   * @return whether the row has the lease; false means that this write has not been applied so far,
   *     or that another process has written the row since
   * @throws PlatformException if this could not be determined; the caller must read the row before
   *     it draws any conclusion
   */
  boolean write(String duty, long expectedVersion, LeaseRecord lease) throws PlatformException {
    RowWrite write = new RowWrite(key(duty), expectedVersion, Optional.of(lease.encode()));
    try {
      return table.commit(List.of(write)).committed();
    } catch (AnswerLostException e) {
      // The combination of holder, fencing number and renewal count is unique to one write.
      return read(duty).map(stored -> stored.lease().equals(lease)).orElse(false);
    }
  }

  private static RowKey key(String duty) {
    return new RowKey(TABLE, duty);
  }
}
