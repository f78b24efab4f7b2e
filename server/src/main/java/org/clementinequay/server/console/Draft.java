package org.clementinequay.server.console;

import java.util.UUID;

/**
 * A configuration document that an operator has not submitted yet.
 *
 * @param baseRevision revision that the document is based on
 * @param submissionId id of its submission; stays the same when the submission is retried
 * @param text the document
 * @param edited whether the operator edited the text; if false, the draft changes the state of one
 *     version
 * @param checked whether the findings and the difference of exactly this text were shown
 */
record Draft(long baseRevision, String submissionId, String text, boolean edited, boolean checked) {
  /** Returns an unchecked draft of an edited text, with a new submission id. */
  static Draft ofEdit(long baseRevision, String text) {
    return new Draft(baseRevision, UUID.randomUUID().toString(), text, true, false);
  }

  /** Returns an unchecked draft that changes a version's state, with a new submission id. */
  static Draft ofStateChange(long baseRevision, String text) {
    return new Draft(baseRevision, UUID.randomUUID().toString(), text, false, false);
  }

  /** Returns a copy that is marked as checked; it keeps the submission id. */
  Draft asChecked() {
    return new Draft(baseRevision, submissionId, text, edited, true);
  }
}
