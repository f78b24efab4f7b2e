package org.clementinequay.core.platform;

/**
 * A row as read from the table service.
 *
 * @param key table and key of the row
 * @param version version, at least 1, which changes with every write and is never reused for the
 *     key
 * @param value value, a UTF-8 text; JSON by convention
 */
public record Row(RowKey key, long version, String value) {}
