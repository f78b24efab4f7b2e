package org.clementinequay.core.platform;

/**
 * Identifies a row of the table service.
 *
 * @param table name of the table
 * @param key key of the row within the table; the rows of a table are ordered by key
 */
public record RowKey(String table, String key) {
  @Override
  public String toString() {
    return table + "/" + key;
  }
}
