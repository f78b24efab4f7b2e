package org.clementinequay.server.operator;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.clementinequay.core.config.ConfigurationDiff;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.spread.ConfigurationPublisher;
import org.clementinequay.core.spread.PublishResult;
import org.clementinequay.core.spread.RevisionRecord;
import org.clementinequay.server.document.DocumentParser;
import org.clementinequay.server.document.ParsedDocument;

/**
 * Publishes submitted configurations and reads revisions, for the operators' API and the console.
 */
public final class ConfigurationService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ConfigurationPublisher publisher;
  private final BiConsumer<RevisionRecord, String> onAccepted;

  /**
   * Creates the service.
   *
   * @param onAccepted called with each accepted revision and its document, so that the host can
   *     activate it without waiting for its next poll of the latest revision; must not block
   */
  public ConfigurationService(
      ConfigurationPublisher publisher, BiConsumer<RevisionRecord, String> onAccepted) {
    this.publisher = Objects.requireNonNull(publisher);
    this.onAccepted = Objects.requireNonNull(onAccepted);
  }

  /**
   * Validates a document and submits it.
   *
   * @throws PlatformException if the platform failed or its answer was lost; the same submission
   *     may be sent again
   */
  public SubmitResult submit(Submission submission) throws PlatformException {
    ParsedDocument parsed = DocumentParser.parse(submission.document());
    if (parsed.configuration().isEmpty()) {
      return new SubmitResult.Invalid(parsed.findings());
    }
    PublishResult result;
    try {
      result =
          publisher.publish(
              submission.baseRevision(),
              submission.submissionId(),
              submission.operator(),
              submission.document());
    } catch (IllegalArgumentException e) {
      return new SubmitResult.UnknownBase(e.getMessage());
    }
    if (result instanceof PublishResult.Accepted accepted) {
      RevisionRecord record = accepted.record();
      logger.atInfo().log(
          "operator %s submitted revision %d, based on %d",
          record.operator(), record.revision(), record.baseRevision());
      onAccepted.accept(record, submission.document());
      return new SubmitResult.Accepted(record, parsed.findings());
    }
    RevisionRecord latest = ((PublishResult.Conflict) result).current();
    return new SubmitResult.Conflict(latest, changesSince(submission.baseRevision(), latest));
  }

  /** Returns the revision of the given number, or the latest one if the number is 0. */
  public Optional<RevisionRecord> record(long revision) throws PlatformException {
    return revision == 0 ? publisher.head() : publisher.revision(revision);
  }

  /** Returns the document of a revision, or empty if it is missing or does not match its hash. */
  public Optional<String> document(RevisionRecord record) throws PlatformException {
    return publisher.document(record.hash());
  }

  /** Returns the latest revisions, newest first. */
  public List<RevisionRecord> history(int limit) throws PlatformException {
    return publisher.history(limit);
  }

  /**
   * Returns the differences between two revisions.
   *
   * @param before number of the earlier revision, 0 for the empty configuration
   * @return empty if one of the documents is not available or has errors
   */
  public Optional<List<ConfigurationDiff.Change>> changes(long before, long after)
      throws PlatformException {
    Optional<RouterConfiguration> old = configuration(before);
    Optional<RouterConfiguration> current = configuration(after);
    return old.isPresent() && current.isPresent()
        ? Optional.of(ConfigurationDiff.between(old.get(), current.get()))
        : Optional.empty();
  }

  private Optional<List<ConfigurationDiff.Change>> changesSince(long base, RevisionRecord latest) {
    try {
      return changes(base, latest.revision());
    } catch (PlatformException e) {
      // The operator must learn of the conflicting revision even if the documents cannot be read.
      logger.atWarning().withCause(e).log(
          "cannot compute the changes up to the conflicting revision");
      return Optional.empty();
    }
  }

  /**
   * Returns the configuration of a revision, the empty one for 0.
   *
   * @return empty if the document is not available or has errors
   */
  public Optional<RouterConfiguration> configuration(long revision) throws PlatformException {
    if (revision == 0) {
      return Optional.of(RouterConfiguration.builder().build());
    }
    Optional<RevisionRecord> record = publisher.revision(revision);
    Optional<String> text =
        record.isEmpty() ? Optional.empty() : publisher.document(record.get().hash());
    return text.flatMap(DocumentParser::parseAccepted);
  }
}
