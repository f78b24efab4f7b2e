package org.clementinequay.bench.faults;

import org.clementinequay.core.Outcome;
import org.clementinequay.core.claim.ClaimResult;

/** What a caller sees of one try. */
enum Reply {
  /** The answer of the request. */
  ANSWERED(false),
  /** A refusal with the outcome not-run, or a connection that was refused. */
  NOT_RUN(false),
  /** An error with the outcome unknown. */
  UNKNOWN(true),
  /** The connection broke after the request was sent. */
  BROKEN(true);

  private final boolean mayHaveRun;

  Reply(boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  /** Returns whether the operation may have run without the caller having its answer. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  static Reply of(ClaimResult result) {
    if (result instanceof ClaimResult.Completed) {
      return ANSWERED;
    }
    return result.failure().orElseThrow().outcome() == Outcome.NOT_RUN ? NOT_RUN : UNKNOWN;
  }
}
