package org.clementinequay.core.spread;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.clementinequay.core.platform.HostDirectory;
import org.clementinequay.core.platform.HostEntry;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowFields;
import org.clementinequay.core.platform.RowKey;
import org.clementinequay.core.platform.RowWrite;
import org.clementinequay.core.platform.TableService;

/**
 * Which entry hosts have put a revision in force: each host writes a row of its own, and a reader
 * compares the rows with the platform's host list. Heartbeats cannot tell this, because a host
 * links only to some of the hosts of other failure domains. At 3,000 changes a day and 330 hosts
 * the rows take 11.5 writes a second.
 */
public final class RevisionConfirmations {
  /** Table of the rows; the key is the name of the host. */
  public static final String TABLE = "confirmations";

  private static final String ENTRY_ROLE = "entry";
  private static final int PAGE = 1000;

  private final TableService table;
  private final HostDirectory directory;

  /** Creates a writer and reader of confirmations; it holds no state. */
  public RevisionConfirmations(TableService table, HostDirectory directory) {
    this.table = Objects.requireNonNull(table);
    this.directory = Objects.requireNonNull(directory);
  }

  /**
   * Records that a host has put a revision in force. A late repeat of an older confirmation has no
   * effect.
   *
   * @throws PlatformException if the call has to be repeated
   */
  public void confirm(String host, long revision) throws PlatformException {
    RowKey key = new RowKey(TABLE, host);
    Optional<Row> row = table.read(key);
    if (row.isPresent() && revision(row.get()) >= revision) {
      return;
    }
    String value = RowFields.builder().number("revision", revision).encode();
    table.commit(
        List.of(row.map(r -> RowWrite.replace(r, value)).orElse(RowWrite.insert(key, value))));
  }

  /**
   * Returns the listed entry hosts that have not confirmed the revision or a later one, by name.
   *
   * @throws PlatformException if the rows or the host list cannot be read
   */
  public List<String> unconfirmed(long revision) throws PlatformException {
    Map<String, Long> confirmed = new HashMap<>();
    List<Row> page;
    String after = "";
    do {
      page = table.scan(TABLE, "", after, PAGE);
      for (Row row : page) {
        confirmed.put(row.key().key(), revision(row));
        after = row.key().key();
      }
    } while (page.size() == PAGE);
    List<String> missing = new ArrayList<>();
    for (HostEntry host : directory.hosts()) {
      if (host.role().equals(ENTRY_ROLE) && confirmed.getOrDefault(host.name(), 0L) < revision) {
        missing.add(host.name());
      }
    }
    missing.sort(null);
    return missing;
  }

  private static long revision(Row row) {
    return RowFields.parse(row.value()).number("revision");
  }
}
