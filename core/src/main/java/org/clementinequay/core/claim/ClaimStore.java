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

/** Reads and writes claim rows and the objects that hold large answers. */
final class ClaimStore {
  private static final String ANSWER_PREFIX = "answers/";

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

  /** Writes the rows of all attempts in one transaction. */
  CommitResult claim(Collection<ClaimAttempt> attempts) throws PlatformException {
    List<RowWrite> writes = new ArrayList<>();
    for (ClaimAttempt attempt : attempts) {
      String value = attempt.claimedRow().encode();
      writes.add(
          attempt
              .replaces()
              .map(row -> RowWrite.replace(row, value))
              .orElseGet(() -> RowWrite.insert(attempt.request().key().rowKey(), value)));
    }
    return table.commit(writes);
  }

  CommitResult delete(Collection<Row> rows) throws PlatformException {
    return table.commit(rows.stream().map(RowWrite::delete).toList());
  }

  /**
   * Writes completed rows in one transaction. The writes are unconditional: only the process that
   * was granted a claim writes its row, and writing the same answer twice changes nothing.
   */
  void complete(Collection<ClaimRow> rows, Collection<ClaimKey> keys) throws PlatformException {
    List<RowWrite> writes = new ArrayList<>();
    var key = keys.iterator();
    for (ClaimRow row : rows) {
      writes.add(new RowWrite(key.next().rowKey(), RowWrite.ANY, Optional.of(row.encode())));
    }
    table.commit(writes);
  }

  /** Moves the body of an answer that is too large for a row to the object store. */
  StoredAnswer offload(ClaimToken token, StoredAnswer answer) throws PlatformException {
    if (answer.fitsRow()) {
      return answer;
    }
    String name = ANSWER_PREFIX + token;
    // The name is unique to the attempt, so an object that exists already has the same content.
    objects.putIfAbsent(name, answer.body().orElseThrow());
    return answer.movedTo(name);
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
