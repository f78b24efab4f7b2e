package org.clementinequay.core.billing;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.platform.RowKey;

/**
 * Records that are written together. The name is fixed before the first write, so that writing the
 * batch again changes nothing.
 *
 * @param key name below {@code bills/}, in the object store and in the table
 * @param lines stored forms of the records
 */
public record BillBatch(String key, List<String> lines) {
  /** Table of the index rows, and prefix of the objects. */
  public static final String TABLE = "bills";

  /** Copies the list. */
  public BillBatch {
    lines = List.copyOf(lines);
  }

  /** Returns a batch that a host seals of its own records. */
  public static BillBatch sealed(Incarnation owner, long sequence, List<String> lines) {
    return new BillBatch(owner + "/" + sequence(sequence), lines);
  }

  /** Returns a batch that a host writes for a dead one. */
  public static BillBatch flushed(
      Incarnation dead, Incarnation writer, long sequence, List<String> lines) {
    return new BillBatch(dead + "/flushed-by-" + writer + "/" + sequence(sequence), lines);
  }

  private static String sequence(long number) {
    return String.format("%012d", number);
  }

  String objectName() {
    return TABLE + "/" + key;
  }

  RowKey row() {
    return new RowKey(TABLE, key);
  }

  byte[] content() {
    return String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
  }

  static List<BillRecord> records(byte[] content) {
    return new String(content, StandardCharsets.UTF_8).lines().map(BillRecord::parse).toList();
  }
}
