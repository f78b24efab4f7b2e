package org.clementinequay.bench.faults;

import org.clementinequay.core.Outcome;
import org.clementinequay.core.claim.ClaimResult;

/** Result of one attempt as the caller sees it. */
enum Reply {
  /** The answer of the request. */
  ANSWERED(false),
  /** The entry host refused with the outcome not-run, or the connection was refused. */
  NOT_RUN(false),
  /** The entry host answered with an error and the outcome unknown. */
  UNKNOWN(true),
  /** The connection broke after the request had been sent. */
  BROKEN(true);

  private final boolean mayHaveRun;

  Reply(boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  /** Returns whether the operation may have run although the caller did not get its answer. */
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
