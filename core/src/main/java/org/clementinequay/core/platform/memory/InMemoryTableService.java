package org.clementinequay.core.platform.memory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.clementinequay.core.platform.CommitResult;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowKey;
import org.clementinequay.core.platform.RowWrite;
import org.clementinequay.core.platform.TableService;

/** A table service in memory, for tests and stand-ins. One lock serializes all transactions. */
public final class InMemoryTableService implements TableService {
  private static final Comparator<RowKey> KEY_ORDER =
      Comparator.comparing(RowKey::table).thenComparing(RowKey::key);

  private final CallHook hook;
  private final TreeMap<RowKey, Row> rows = new TreeMap<>(KEY_ORDER);
  private long lastVersion;

  /** Creates an empty service that runs the hook before and after each call. */
  public InMemoryTableService(CallHook hook) {
    this.hook = Objects.requireNonNull(hook);
  }

  @Override
  public Optional<Row> read(RowKey key) throws PlatformException {
    hook.beforeEffect("read");
    Optional<Row> row;
    synchronized (this) {
      row = Optional.ofNullable(rows.get(key));
    }
    hook.afterEffect("read");
    return row;
  }

  @Override
  public List<Row> scan(String table, String keyPrefix, String afterKey, int limit)
      throws PlatformException {
    hook.beforeEffect("scan");
    List<Row> matchingRows = new ArrayList<>();
    synchronized (this) {
      String startKey = afterKey.compareTo(keyPrefix) >= 0 ? afterKey : keyPrefix;
      for (Row row : rows.tailMap(new RowKey(table, startKey), true).values()) {
        boolean inRange = row.key().table().equals(table) && row.key().key().startsWith(keyPrefix);
        if (!inRange || matchingRows.size() >= limit) {
          break;
        }
        if (afterKey.isEmpty() || !row.key().key().equals(afterKey)) {
          matchingRows.add(row);
        }
      }
    }
    hook.afterEffect("scan");
    return matchingRows;
  }

  @Override
  public CommitResult commit(List<RowWrite> writes) throws PlatformException {
    hook.beforeEffect("commit");
    CommitResult result;
    synchronized (this) {
      result = apply(writes);
    }
    hook.afterEffect("commit");
    return result;
  }

  private CommitResult apply(List<RowWrite> writes) {
    List<RowKey> conflicts = new ArrayList<>();
    for (RowWrite write : writes) {
      Row currentRow = rows.get(write.key());
      long currentVersion = currentRow == null ? RowWrite.ABSENT : currentRow.version();
      if (write.expectedVersion() != RowWrite.ANY && write.expectedVersion() != currentVersion) {
        conflicts.add(write.key());
      }
    }
    if (!conflicts.isEmpty()) {
      return new CommitResult(false, conflicts);
    }
    for (RowWrite write : writes) {
      if (write.newValue().isPresent()) {
        lastVersion++;
        rows.put(write.key(), new Row(write.key(), lastVersion, write.newValue().get()));
      } else {
        rows.remove(write.key());
      }
    }
    return new CommitResult(true, List.of());
  }
}
