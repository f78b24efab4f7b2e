package org.clementinequay.core.billing;

/** How a billed attempt ended. The constant names are written to stored bill records. */
public enum AttemptState {
  /** The complete response was released to the caller. */
  ACCEPTED(true),
  /** The attempt produced a complete cascade draft whose rating was too low to be used. */
  REJECTED_DRAFT(true),
  /** The attempt ended before its response was complete. */
  FAILED(false),
  /** The attempt was cancelled because the caller disconnected or the deadline passed. */
  CANCELLED(false);

  private final boolean responseComplete;

  AttemptState(boolean responseComplete) {
    this.responseComplete = responseComplete;
  }

  /**
   * Returns whether the response was complete, so that the upstream reported the token counts; the
   * entry host counts the tokens of an incomplete response itself.
   */
  public boolean responseComplete() {
    return responseComplete;
  }
}
