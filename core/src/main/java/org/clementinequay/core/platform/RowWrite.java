package org.clementinequay.core.platform;

import java.util.Optional;

/**
 * A write within a transaction, which may depend on the version of the row.
 *
 * @param key table and key of the row
 * @param expectedVersion version that the row must have; {@link #ABSENT} if it must not exist,
 *     {@link #ANY} for an unconditional write
 * @param newValue new value, or empty to delete the row
 */
public record RowWrite(RowKey key, long expectedVersion, Optional<String> newValue) {
  /** Expected version of a row that must not exist. */
  public static final long ABSENT = 0;

  /** Expected version of a write that does not depend on the row's version. */
  public static final long ANY = -1;

  /** Returns a write that creates a row, and conflicts if the row exists. */
  public static RowWrite insert(RowKey key, String value) {
    return new RowWrite(key, ABSENT, Optional.of(value));
  }

  /** Returns a write that replaces a row, and conflicts if it changed since it was read. */
  public static RowWrite replace(Row row, String value) {
    return new RowWrite(row.key(), row.version(), Optional.of(value));
  }

  /** Returns a write that deletes a row, and conflicts if it changed since it was read. */
  public static RowWrite delete(Row row) {
    return new RowWrite(row.key(), row.version(), Optional.empty());
  }
}
