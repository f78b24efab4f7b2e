package org.clementinequay.core.billing;

/** How a billed attempt ended. The names are part of the stored form. */
public enum AttemptState {
  /** Its whole answer was released to the caller. */
  ACCEPTED(true),
  /** A whole draft of a cascade that was not good enough. */
  REJECTED_DRAFT(true),
  /** It ended without its whole answer. */
  FAILED(false),
  /** It was stopped because the caller left or the deadline passed. */
  CANCELLED(false);

  private final boolean whole;

  AttemptState(boolean whole) {
    this.whole = whole;
  }

  /** Returns whether the upstream reported the tokens itself; otherwise they were counted here. */
  public boolean whole() {
    return whole;
  }
}
