package org.clementinequay.core.platform;

/**
 * A row as read from the table service.
 *
 * @param key place of the row
 * @param version changes with every write; at least 1, never reused for the same key
 * @param value UTF-8 text, JSON by convention
 */
public record Row(RowKey key, long version, String value) {}
