package org.clementinequay.server.gateway;

/**
 * How an attempt ended without an answer for the caller, and what that means for another attempt.
 * The load for which they are told apart is the crash of many upstreams at once: a connection that
 * cannot be opened brings no request to an upstream, so another attempt adds no load and takes
 * nothing from the retry budget, which would be empty within moments.
 */
enum AttemptEnd {
  /** No byte of the request was sent. */
  NOT_SENT(false, false),
  /** The upstream stated that it did not run the request. */
  REJECTED(false, true),
  /** The upstream has run the request or may run it, also if its answer was dropped. */
  MAY_HAVE_RUN(true, true);

  private final boolean mayHaveRun;
  private final boolean usesRetryBudget;

  AttemptEnd(boolean mayHaveRun, boolean usesRetryBudget) {
    this.mayHaveRun = mayHaveRun;
    this.usesRetryBudget = usesRetryBudget;
  }

  /** Returns whether the upstream may have run the request. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether another attempt must be taken from the retry budget. */
  boolean usesRetryBudget() {
    return usesRetryBudget;
  }
}
