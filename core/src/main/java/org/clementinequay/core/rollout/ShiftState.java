package org.clementinequay.core.rollout;

/** State of the move of a service's traffic to another version. */
public enum ShiftState {
  /** Both versions take traffic. */
  ACTIVE(false),
  /** Only the new version takes traffic. */
  COMPLETED(true),
  /** Only the old version takes traffic. */
  ROLLED_BACK(true);

  private final boolean ended;

  ShiftState(boolean ended) {
    this.ended = ended;
  }

  /** Returns whether the state is final for its order. */
  public boolean ended() {
    return ended;
  }
}
