package org.clementinequay.core.platform;

/**
 * Place of a row in the table service.
 *
 * @param table name of the table
 * @param key key of the row; rows of a table are ordered by key
 */
public record RowKey(String table, String key) {
  @Override
  public String toString() {
    return table + "/" + key;
  }
}
