package org.clementinequay.core.spread;

/** How a submission of a configuration ended. */
public sealed interface PublishResult {
  /**
   * The submission was accepted, now or by an earlier call with the same submission id.
   *
   * @param record the revision that holds it; a later one may be in force already
   */
  record Accepted(RevisionRecord record) implements PublishResult {}

  /**
   * Another revision was accepted after the base revision of the submission.
   *
   * @param winner the revision in force, which a new attempt has to start from
   */
  record Conflict(RevisionRecord current) implements PublishResult {}
}
