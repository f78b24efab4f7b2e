package org.clementinequay.server.operator;

import java.util.List;
import java.util.Optional;
import org.clementinequay.core.config.ConfigurationDiff;
import org.clementinequay.core.config.Finding;
import org.clementinequay.core.spread.RevisionRecord;

/** How a submission ended. */
public sealed interface SubmitResult {
  /**
   * The document was accepted.
   *
   * @param record its revision
   * @param warnings what is suspicious about it
   */
  record Accepted(RevisionRecord record, List<Finding> warnings) implements SubmitResult {}

  /**
   * Another operator was first.
   *
   * @param winner the revision in force
   * @param changes what was changed since the base revision; empty if the documents cannot be read
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
   * @param message what is wrong with it
   */
  record UnknownBase(String message) implements SubmitResult {}
}
