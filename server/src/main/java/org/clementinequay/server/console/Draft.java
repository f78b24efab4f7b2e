package org.clementinequay.server.console;

import java.util.UUID;

/**
 * A document that an operator is about to submit.
 *
 * @param baseRevision revision that it started from
 * @param submissionId id of its submission; stays the same while the submission is repeated
 * @param text the document
 * @param edited whether the operator edited the text; else it is a change of one version's state
 * @param checked whether findings and difference of exactly this text were shown
 */
record Draft(long baseRevision, String submissionId, String text, boolean edited, boolean checked) {
  /** Returns an unchecked draft with a new submission id. */
  static Draft ofEdit(long baseRevision, String text) {
    return new Draft(baseRevision, UUID.randomUUID().toString(), text, true, false);
  }

  /** Returns a change of a version's state with a new submission id. */
  static Draft ofStateChange(long baseRevision, String text) {
    return new Draft(baseRevision, UUID.randomUUID().toString(), text, false, false);
  }

  /** Returns the draft after its findings and difference were shown. */
  Draft shown() {
    return new Draft(baseRevision, submissionId, text, edited, true);
  }
}
