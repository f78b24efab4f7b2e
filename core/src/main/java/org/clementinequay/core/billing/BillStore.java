package org.clementinequay.core.billing;

import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.ObjectStore;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowFields;
import org.clementinequay.core.platform.RowWrite;
import org.clementinequay.core.platform.TableService;

/**
 * Writes and reads batches of bill records. The object is written before its index row, so that a
 * row never refers to a missing object. Both writes succeed only if the name is unused, and the
 * content under a name never changes, so a write whose response was lost can simply be repeated.
 */
public final class BillStore {
  private static final int PAGE_SIZE = 500;

  private final TableService table;
  private final ObjectStore objects;

  /** Creates a store on the platform's table service and object store. */
  public BillStore(TableService table, ObjectStore objects) {
    this.table = Objects.requireNonNull(table);
    this.objects = Objects.requireNonNull(objects);
  }

  /**
   * Writes a batch. When this method returns, the object and its index row exist.
   *
   * @throws PlatformException if the write is not confirmed and must be repeated
   */
  public void write(BillBatch batch) throws PlatformException {
    objects.putIfAbsent(batch.objectName(), batch.content());
    String value = RowFields.builder().number("records", batch.lines().size()).encode();
    // The result is ignored: a conflict means that an earlier write of this batch took effect.
    table.commit(List.of(RowWrite.insert(batch.rowKey(), value)));
  }

  /**
   * Reads the bill of one account, or of all accounts, for a period.
   *
   * @param account name of the account; empty for all
   * @param from start of the period, inclusive, by the time at which requests finished
   * @param to end of the period, exclusive
   * @throws PlatformException if a batch could not be read; a partial bill is never returned
   */
  public Bill read(String account, Instant from, Instant to) throws PlatformException {
    Predicate<BillRecord> matches =
        record ->
            (account.isEmpty() || record.account().equals(account))
                && !record.finishedAt().isBefore(from)
                && record.finishedAt().isBefore(to);
    Bill bill = new Bill();
    String afterKey = "";
    while (true) {
      List<Row> rows = table.scan(BillBatch.TABLE, "", afterKey, PAGE_SIZE);
      for (Row row : rows) {
        readRecords(row).stream().filter(matches).forEach(bill::add);
      }
      if (rows.size() < PAGE_SIZE) {
        return bill;
      }
      afterKey = rows.get(rows.size() - 1).key().key();
    }
  }

  private List<BillRecord> readRecords(Row row) throws PlatformException {
    String objectName = row.key().toString();
    byte[] content =
        objects
            .read(objectName)
            .orElseThrow(() -> new AnswerLostException("object " + objectName + " is missing"));
    return BillBatch.parseRecords(content);
  }
}
