package org.clementinequay.core.claim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.CommitResult;
import org.clementinequay.core.platform.ObjectStore;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowWrite;
import org.clementinequay.core.platform.TableService;

/** Reads and writes claim rows, and objects with the bodies of large answers. */
final class ClaimStore {
  private static final String OBJECT_NAME_PREFIX = "answers/";

  private final TableService table;
  private final ObjectStore objects;

  ClaimStore(TableService table, ObjectStore objects) {
    this.table = Objects.requireNonNull(table);
    this.objects = Objects.requireNonNull(objects);
  }

  Optional<Row> read(ClaimKey key) throws PlatformException {
    return table.read(key.rowKey());
  }

  List<Row> scan(String afterKey, int limit) throws PlatformException {
    return table.scan(ClaimKey.TABLE, "", afterKey, limit);
  }

  /** Inserts or replaces the rows of all attempts in one transaction. */
  CommitResult writeClaims(Collection<ClaimAttempt> attempts) throws PlatformException {
    List<RowWrite> writes = new ArrayList<>();
    for (ClaimAttempt attempt : attempts) {
      String value = attempt.claimedRow().encode();
      writes.add(
          attempt
              .rowToReplace()
              .map(row -> RowWrite.replace(row, value))
              .orElseGet(() -> RowWrite.insert(attempt.request().key().rowKey(), value)));
    }
    return table.commit(writes);
  }

  CommitResult delete(Collection<Row> rows) throws PlatformException {
    return table.commit(rows.stream().map(RowWrite::delete).toList());
  }

  /**
   * Writes completed rows in one transaction. The writes are unconditional, because only the
   * process that was granted a claim writes its row, and writing the same answer twice is harmless.
   */
  void writeCompletions(Collection<ClaimRow> rows, Collection<ClaimKey> keys)
      throws PlatformException {
    List<RowWrite> writes = new ArrayList<>();
    var keyIterator = keys.iterator();
    for (ClaimRow row : rows) {
      writes.add(
          new RowWrite(keyIterator.next().rowKey(), RowWrite.ANY, Optional.of(row.encode())));
    }
    table.commit(writes);
  }

  /**
   * Writes the body of an answer that does not fit into a row to the object store. Other answers
   * are returned unchanged.
   */
  StoredAnswer offload(ClaimToken token, StoredAnswer answer) throws PlatformException {
    if (answer.fitsInRow()) {
      return answer;
    }
    String name = OBJECT_NAME_PREFIX + token;
    // The name is unique to the attempt, so an existing object already has the same content.
    objects.putIfAbsent(name, answer.body().orElseThrow());
    return answer.withObjectName(name);
  }

  StoredAnswer load(StoredAnswer answer) throws PlatformException {
    if (answer.objectName().isEmpty()) {
      return answer;
    }
    String name = answer.objectName().get();
    byte[] content =
        objects
            .read(name)
            .orElseThrow(() -> new AnswerLostException("object " + name + " is missing"));
    return answer.withBody(content);
  }
}
