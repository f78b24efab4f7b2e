package org.clementinequay.core.forward;

/** Whether the requests of a route may be retried, and whether their answer is a stream. */
public enum RequestKind {
  /** The request may run more than once. */
  IDEMPOTENT(true, false),
  /** The request runs at most once for each call of the caller. */
  AT_MOST_ONCE(false, false),
  /** A stream of events that another upstream can resume after the last event received. */
  RESUMABLE_STREAM(true, true),
  /** A stream of events whose request runs at most once. */
  STREAM(false, true);

  private final boolean retryable;
  private final boolean streaming;

  RequestKind(boolean retryable, boolean streaming) {
    this.retryable = retryable;
    this.streaming = streaming;
  }

  /** Returns whether a request may be sent to another upstream after one may have run it. */
  public boolean retryable() {
    return retryable;
  }

  /** Returns whether the answer is a stream of events. */
  public boolean streaming() {
    return streaming;
  }
}
