package org.clementinequay.core.billing;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.platform.RowKey;

/**
 * Bill records that are written to the object store as one object. The key is fixed before the
 * first write, so that writes are idempotent.
 *
 * @param key name under {@code bills/} in the object store, and row key in the index table
 * @param lines stored forms of the records
 */
public record BillBatch(String key, List<String> lines) {
  /** Name of the table of index rows, and prefix of the object names. */
  public static final String TABLE = "bills";

  /** Copies the list of lines. */
  public BillBatch {
    lines = List.copyOf(lines);
  }

  /** Returns a batch of a host's own records. */
  public static BillBatch sealed(Incarnation owner, long sequence, List<String> lines) {
    return new BillBatch(owner + "/" + formatSequence(sequence), lines);
  }

  /** Returns a batch of a dead host's records that another host writes from its copies. */
  public static BillBatch flushed(
      Incarnation dead, Incarnation writer, long sequence, List<String> lines) {
    return new BillBatch(dead + "/flushed-by-" + writer + "/" + formatSequence(sequence), lines);
  }

  private static String formatSequence(long sequence) {
    return String.format("%012d", sequence);
  }

  String objectName() {
    return TABLE + "/" + key;
  }

  RowKey rowKey() {
    return new RowKey(TABLE, key);
  }

  byte[] content() {
    return String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
  }

  static List<BillRecord> parseRecords(byte[] content) {
    return new String(content, StandardCharsets.UTF_8).lines().map(BillRecord::parse).toList();
  }
}
