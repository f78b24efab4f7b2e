package org.clementinequay.server.operator;

import java.util.List;
import java.util.Optional;
import org.clementinequay.core.config.ConfigurationDiff;
import org.clementinequay.core.config.Finding;
import org.clementinequay.core.spread.RevisionRecord;

/** Outcome of a submission. */
public sealed interface SubmitResult {
  /**
   * The document was accepted.
   *
   * @param record the new revision
   * @param warnings findings that did not prevent the acceptance
   */
  record Accepted(RevisionRecord record, List<Finding> warnings) implements SubmitResult {}

  /**
   * The base revision is not the latest one; another submission was accepted first.
   *
   * @param winner the latest revision
   * @param changes differences between the base revision and the latest one; empty if the documents
   *     cannot be read
   */
  record Conflict(RevisionRecord winner, Optional<List<ConfigurationDiff.Change>> changes)
      implements SubmitResult {}

  /**
   * The document has errors; nothing was stored.
   *
   * @param findings errors and warnings
   */
  record Invalid(List<Finding> findings) implements SubmitResult {}

  /**
   * The base revision was never accepted.
   *
   * @param message description of the error for the operator
   */
  record UnknownBase(String message) implements SubmitResult {}
}
