package org.clementinequay.core.spread;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.ObjectStore;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowKey;
import org.clementinequay.core.platform.RowWrite;
import org.clementinequay.core.platform.TableService;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Accepts configuration documents by compare-and-set of the head row. The document is stored first,
 * so that every revision in the table has its document. A submission on base revision {@code n} can
 * only become revision {@code n + 1}, so the row of that revision shows whether a submission whose
 * response was lost took effect, no matter how many revisions were accepted after it.
 */
public final class ConfigurationPublisher {
  /** Name of the table that holds the head row and one row per revision. */
  public static final String TABLE = "configuration";

  /** Key of the head row, which holds the latest accepted revision. */
  public static final RowKey HEAD = new RowKey(TABLE, "head");

  /** Prefix of the object names of documents; the hash of the document follows. */
  public static final String OBJECT_PREFIX = "configuration/";

  private static final String REVISION_PREFIX = "revision/";

  /**
   * Maximum number of attempts to commit a submission before a lost response or a head row that
   * keeps changing is reported. Repeating the transaction is safe because it names the expected
   * version of the head row.
   */
  private static final int MAX_COMMIT_ATTEMPTS = 4;

  private final TableService table;
  private final ObjectStore objects;
  private final RuntimeClock clock;

  /** Creates a publisher, which keeps no state between calls. */
  public ConfigurationPublisher(TableService table, ObjectStore objects, RuntimeClock clock) {
    this.table = Objects.requireNonNull(table);
    this.objects = Objects.requireNonNull(objects);
    this.clock = Objects.requireNonNull(clock);
  }

  /**
   * Submits a document. Repeating an accepted submission with the same arguments returns the same
   * result and changes nothing.
   *
   * @param baseRevision revision that the operator edited, or 0 if there was none
   * @param submissionId id chosen by the submitter, unique for each submission
   * @param operator name of the operator
   * @param text the validated document
   * @throws IllegalArgumentException if the base revision was never accepted
   * @throws PlatformUnavailableException if nothing was accepted
   * @throws AnswerLostException if the submission may have been accepted; repeating it with the
   *     same arguments tells
   */
  public PublishResult publish(long baseRevision, String submissionId, String operator, String text)
      throws PlatformException {
    String hash = DocumentHash.of(text);
    RevisionRecord proposal =
        new RevisionRecord(
            baseRevision + 1, hash, operator, submissionId, baseRevision, clock.now());
    storeDocument(hash, text);
    AnswerLostException lostResponse = null;
    for (int attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt++) {
      try {
        Optional<PublishResult> result = tryCommit(proposal);
        if (result.isPresent()) {
          return result.get();
        }
      } catch (AnswerLostException e) {
        lostResponse = e;
      } catch (PlatformUnavailableException e) {
        // After a lost response, this failure does not prove that nothing was accepted.
        throw lostResponse == null ? e : lostResponse;
      }
    }
    throw lostResponse != null
        ? lostResponse
        : new PlatformUnavailableException(
            "the head row changed during each of " + MAX_COMMIT_ATTEMPTS + " attempts");
  }

  /** Returns the latest accepted revision, or empty if none was ever accepted. */
  public Optional<RevisionRecord> head() throws PlatformException {
    return table.read(HEAD).map(row -> RevisionRecord.parse(row.value()));
  }

  /** Returns the revision of the given number, or empty if it was never accepted. */
  public Optional<RevisionRecord> revision(long number) throws PlatformException {
    if (number <= 0) {
      return Optional.empty();
    }
    return table.read(revisionKey(number)).map(row -> RevisionRecord.parse(row.value()));
  }

  /** Returns at most {@code limit} of the latest revisions, newest first. */
  public List<RevisionRecord> history(int limit) throws PlatformException {
    Optional<RevisionRecord> head = head();
    if (head.isEmpty() || limit <= 0) {
      return List.of();
    }
    long afterRevision = Math.max(0, head.get().revision() - limit);
    List<RevisionRecord> records = new ArrayList<>();
    for (Row row : table.scan(TABLE, REVISION_PREFIX, revisionKey(afterRevision).key(), limit)) {
      records.add(RevisionRecord.parse(row.value()));
    }
    Collections.reverse(records);
    return records;
  }

  /**
   * Reads a document from the object store.
   *
   * @param hash hexadecimal SHA-256 of its text
   * @return the document, or empty if it is missing or its stored bytes do not match the hash
   */
  public Optional<String> document(String hash) throws PlatformException {
    return objects
        .read(OBJECT_PREFIX + hash)
        .filter(content -> DocumentHash.of(content).equals(hash))
        .map(content -> new String(content, StandardCharsets.UTF_8));
  }

  private static RowKey revisionKey(long revision) {
    return new RowKey(TABLE, REVISION_PREFIX + String.format(Locale.ROOT, "%012d", revision));
  }

  /**
   * Stores the document. No row refers to it yet, so after a lost response it is enough to read the
   * object back.
   */
  private void storeDocument(String hash, String text) throws PlatformException {
    try {
      if (objects.putIfAbsent(OBJECT_PREFIX + hash, text.getBytes(StandardCharsets.UTF_8))) {
        return;
      }
    } catch (AnswerLostException e) {
      if (document(hash).isPresent()) {
        return;
      }
      throw new PlatformUnavailableException("the document could not be stored", e);
    }
    if (document(hash).isEmpty()) {
      throw new PlatformUnavailableException(
          "object " + OBJECT_PREFIX + hash + " exists with different content");
    }
  }

  /**
   * Tries once to commit the proposal. Returns empty if the head row changed between read and
   * commit, in which case the caller tries again.
   */
  private Optional<PublishResult> tryCommit(RevisionRecord proposal) throws PlatformException {
    Optional<Row> headRow = table.read(HEAD);
    long headRevision = headRow.map(row -> RevisionRecord.parse(row.value()).revision()).orElse(0L);
    if (proposal.baseRevision() > headRevision || proposal.baseRevision() < 0) {
      throw new IllegalArgumentException(
          "base revision "
              + proposal.baseRevision()
              + " was never accepted; revision "
              + headRevision
              + " is in force");
    }
    if (headRevision > proposal.baseRevision()) {
      return Optional.of(resolveStaleBase(proposal, RevisionRecord.parse(headRow.get().value())));
    }
    String value = proposal.encode();
    RowWrite updateHead =
        headRow.map(row -> RowWrite.replace(row, value)).orElse(RowWrite.insert(HEAD, value));
    RowWrite addRevision = RowWrite.insert(revisionKey(proposal.revision()), value);
    return table.commit(List.of(updateHead, addRevision)).committed()
        ? Optional.of(new PublishResult.Accepted(proposal))
        : Optional.empty();
  }

  private PublishResult resolveStaleBase(RevisionRecord proposal, RevisionRecord head)
      throws PlatformException {
    Optional<RevisionRecord> successor = revision(proposal.revision());
    // The hash is compared as well: another document with a reused submission id must not look
    // accepted.
    boolean sameSubmission =
        successor.isPresent()
            && successor.get().submissionId().equals(proposal.submissionId())
            && successor.get().hash().equals(proposal.hash());
    return sameSubmission
        ? new PublishResult.Accepted(successor.get())
        : new PublishResult.Conflict(head);
  }
}
