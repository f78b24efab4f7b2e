package org.clementinequay.core.spread;

/** Result of the submission of a configuration document. */
public sealed interface PublishResult {
  /**
   * The submission was accepted, now or by an earlier call with the same submission id.
   *
   * @param record the revision that it became; a later one may already be in force
   */
  record Accepted(RevisionRecord record) implements PublishResult {}

  /**
   * The submission was rejected because another revision was accepted after its base revision.
   *
   * @param current the latest accepted revision, which a new submission must be based on
   */
  record Conflict(RevisionRecord current) implements PublishResult {}
}
