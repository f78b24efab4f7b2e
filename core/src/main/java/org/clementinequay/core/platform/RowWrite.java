package org.clementinequay.core.platform;

import java.util.Optional;

/**
 * One conditional write of a transaction.
 *
 * @param key place of the row
 * @param expectedVersion version that the row must have; {@link #ABSENT} if it must not exist,
 *     {@link #ANY} for an unconditional write
 * @param newValue the new value; empty to delete the row
 */
public record RowWrite(RowKey key, long expectedVersion, Optional<String> newValue) {
  /** The row must not exist. */
  public static final long ABSENT = 0;

  /** The write does not depend on the row's version. */
  public static final long ANY = -1;

  /** Returns a write that creates a row and conflicts if it exists. */
  public static RowWrite insert(RowKey key, String value) {
    return new RowWrite(key, ABSENT, Optional.of(value));
  }

  /** Returns a write that replaces the row as it was read. */
  public static RowWrite replace(Row row, String value) {
    return new RowWrite(row.key(), row.version(), Optional.of(value));
  }

  /** Returns a write that deletes the row as it was read. */
  public static RowWrite delete(Row row) {
    return new RowWrite(row.key(), row.version(), Optional.empty());
  }
}
