package org.clementinequay.core.rollout;

/** State of an order to move a service's traffic to another version. */
public enum ShiftState {
  /** The move is in progress; both versions may get traffic. */
  ACTIVE(false),
  /** Only the new version gets traffic. */
  COMPLETED(true),
  /** Only the old version gets traffic. */
  ROLLED_BACK(true);

  private final boolean ended;

  ShiftState(boolean ended) {
    this.ended = ended;
  }

  /** Returns whether the state is final, so that it never changes again for the same order. */
  public boolean ended() {
    return ended;
  }
}
