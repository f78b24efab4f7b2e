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
 * Accepts configuration documents by compare-and-set of the head row. The body is stored first, so
 * that a revision in the table always has its document. A submission on base revision {@code n} can
 * only become revision {@code n + 1}; that row therefore tells whether a submission whose answer
 * was lost took effect, no matter how many revisions were accepted after it.
 */
public final class ConfigurationPublisher {
  /** Table of the revision rows. */
  public static final String TABLE = "configuration";

  /** Key of the row that holds the revision in force. */
  public static final RowKey HEAD = new RowKey(TABLE, "head");

  /** Prefix of the names of the documents in the object store. */
  public static final String OBJECT_PREFIX = "configuration/";

  private static final String REVISION_PREFIX = "revision/";

  /**
   * Tries to commit before a lost answer is reported. A repeat is safe because the transaction
   * names the version of the head row.
   */
  private static final int COMMIT_ATTEMPTS = 4;

  private final TableService table;
  private final ObjectStore objects;
  private final RuntimeClock clock;

  /** Creates a publisher; it holds no state of its own. */
  public ConfigurationPublisher(TableService table, ObjectStore objects, RuntimeClock clock) {
    this.table = Objects.requireNonNull(table);
    this.objects = Objects.requireNonNull(objects);
    this.clock = Objects.requireNonNull(clock);
  }

  /**
   * Submits a document. A repeat with the same arguments returns the same result and changes
   * nothing.
   *
   * @param baseRevision the revision that the operator edited, 0 if there was none
   * @param submissionId id drawn by the submitter, unique for each submission
   * @param operator name of the operator
   * @param text the document, already validated
   * @throws IllegalArgumentException if the base revision was never accepted
   * @throws PlatformUnavailableException if nothing was accepted
   * @throws AnswerLostException if the submission may have been accepted; repeat it to find out
   */
  public PublishResult publish(long baseRevision, String submissionId, String operator, String text)
      throws PlatformException {
    String hash = DocumentHash.of(text);
    RevisionRecord proposal =
        new RevisionRecord(
            baseRevision + 1, hash, operator, submissionId, baseRevision, clock.now());
    storeBody(hash, text);
    AnswerLostException lost = null;
    for (int attempt = 0; attempt < COMMIT_ATTEMPTS; attempt++) {
      try {
        Optional<PublishResult> result = attempt(proposal);
        if (result.isPresent()) {
          return result.get();
        }
      } catch (AnswerLostException e) {
        lost = e;
      } catch (PlatformUnavailableException e) {
        // After a lost answer this failure no longer proves that nothing was accepted.
        throw lost == null ? e : lost;
      }
    }
    throw lost != null
        ? lost
        : new PlatformUnavailableException(
            "the head row changed during each of " + COMMIT_ATTEMPTS + " attempts");
  }

  /** Returns the revision in force, or empty if none was ever accepted. */
  public Optional<RevisionRecord> head() throws PlatformException {
    return table.read(HEAD).map(row -> RevisionRecord.parse(row.value()));
  }

  /** Returns a revision of the given number. */
  public Optional<RevisionRecord> revision(long number) throws PlatformException {
    if (number <= 0) {
      return Optional.empty();
    }
    return table.read(revisionKey(number)).map(row -> RevisionRecord.parse(row.value()));
  }

  /** Returns the latest revisions, newest first. */
  public List<RevisionRecord> history(int limit) throws PlatformException {
    Optional<RevisionRecord> head = head();
    if (head.isEmpty() || limit <= 0) {
      return List.of();
    }
    long before = Math.max(0, head.get().revision() - limit);
    List<RevisionRecord> records = new ArrayList<>();
    for (Row row : table.scan(TABLE, REVISION_PREFIX, revisionKey(before).key(), limit)) {
      records.add(RevisionRecord.parse(row.value()));
    }
    Collections.reverse(records);
    return records;
  }

  /**
   * Reads a document.
   *
   * @param hash hexadecimal SHA-256 of its text
   * @return empty if it is absent or if the stored bytes do not have that hash
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

  /** Stores the body; nothing refers to it yet, so a lost answer is settled by reading it. */
  private void storeBody(String hash, String text) throws PlatformException {
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
          "object " + OBJECT_PREFIX + hash + " exists with another content");
    }
  }

  /** Makes one attempt; empty if the head moved in between and the attempt must be repeated. */
  private Optional<PublishResult> attempt(RevisionRecord proposal) throws PlatformException {
    Optional<Row> headRow = table.read(HEAD);
    long inForce = headRow.map(row -> RevisionRecord.parse(row.value()).revision()).orElse(0L);
    if (proposal.baseRevision() > inForce || proposal.baseRevision() < 0) {
      throw new IllegalArgumentException(
          "base revision "
              + proposal.baseRevision()
              + " was never accepted; revision "
              + inForce
              + " is in force");
    }
    if (inForce > proposal.baseRevision()) {
      return Optional.of(settle(proposal, RevisionRecord.parse(headRow.get().value())));
    }
    String value = proposal.encode();
    RowWrite moveHead =
        headRow.map(row -> RowWrite.replace(row, value)).orElse(RowWrite.insert(HEAD, value));
    RowWrite addRevision = RowWrite.insert(revisionKey(proposal.revision()), value);
    return table.commit(List.of(moveHead, addRevision)).committed()
        ? Optional.of(new PublishResult.Accepted(proposal))
        : Optional.empty();
  }

  private PublishResult settle(RevisionRecord proposal, RevisionRecord head)
      throws PlatformException {
    Optional<RevisionRecord> successor = revision(proposal.revision());
    // The hash is compared too: a submission id reused for another text must not look accepted.
    boolean own =
        successor.isPresent()
            && successor.get().submissionId().equals(proposal.submissionId())
            && successor.get().hash().equals(proposal.hash());
    return own ? new PublishResult.Accepted(successor.get()) : new PublishResult.Conflict(head);
  }
}
