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
 * Writes and reads batches. The object is written before its index row, so that a row never names a
 * missing object. Both writes are conditional on absence and the content under a name never
 * changes, so that a write whose answer was lost is simply repeated.
 */
public final class BillStore {
  private static final int PAGE = 500;

  private final TableService table;
  private final ObjectStore objects;

  /** Creates access to the platform's stores. */
  public BillStore(TableService table, ObjectStore objects) {
    this.table = Objects.requireNonNull(table);
    this.objects = Objects.requireNonNull(objects);
  }

  /**
   * Writes a batch; returns when object and index row exist.
   *
   * @throws PlatformException if the batch has to be written again
   */
  public void write(BillBatch batch) throws PlatformException {
    objects.putIfAbsent(batch.objectName(), batch.content());
    String value = RowFields.builder().number("records", batch.lines().size()).encode();
    // A conflict means that an earlier write of the same batch took effect.
    table.commit(List.of(RowWrite.insert(batch.row(), value)));
  }

  /**
   * Reads the bill of an account, or of all accounts.
   *
   * @param account name of the account; empty for all
   * @param from records that finished at this time or later
   * @param to records that finished before this time
   * @throws PlatformException if a batch could not be read; a partial bill is never returned
   */
  public Bill read(String account, Instant from, Instant to) throws PlatformException {
    Predicate<BillRecord> wanted =
        record ->
            (account.isEmpty() || record.account().equals(account))
                && !record.finishedAt().isBefore(from)
                && record.finishedAt().isBefore(to);
    Bill bill = new Bill();
    String after = "";
    while (true) {
      List<Row> rows = table.scan(BillBatch.TABLE, "", after, PAGE);
      for (Row row : rows) {
        records(row).stream().filter(wanted).forEach(bill::add);
      }
      if (rows.size() < PAGE) {
        return bill;
      }
      after = rows.get(rows.size() - 1).key().key();
    }
  }

  private List<BillRecord> records(Row row) throws PlatformException {
    String name = row.key().toString();
    byte[] content =
        objects
            .read(name)
            .orElseThrow(() -> new AnswerLostException("object " + name + " is missing"));
    return BillBatch.records(content);
  }
}
