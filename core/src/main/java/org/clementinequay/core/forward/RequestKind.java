package org.clementinequay.core.forward;

/** What may be repeated of a request, as its route says. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT(true, false),
  /** Runs at most once for each attempt of the caller. */
  AT_MOST_ONCE(false, false),
  /** A stream of events that another upstream may go on with after the last event received. */
  RESUMABLE_STREAM(true, true),
  /** A stream of events that runs at most once. */
  STREAM(false, true);

  private final boolean retryable;
  private final boolean streaming;

  RequestKind(boolean retryable, boolean streaming) {
    this.retryable = retryable;
    this.streaming = streaming;
  }

  /** Returns whether a request that may have run may be sent to another upstream. */
  public boolean retryable() {
    return retryable;
  }

  /** Returns whether the answer is a stream of events. */
  public boolean streaming() {
    return streaming;
  }
}
