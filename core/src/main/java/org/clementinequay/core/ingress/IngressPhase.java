package org.clementinequay.core.ingress;

/** What a connection is doing, by which its bytes or the connection itself may be reclaimed. */
enum IngressPhase {
  /** No byte has arrived yet. */
  UNUSED(true, false),
  HEAD(true, true),
  BODY(false, true),
  /** The request is passed on; what is held for it may be needed for another attempt. */
  RUNNING(false, false),
  /** The whole answer has room and comes from its upstream. */
  RECEIVING_ANSWER(false, true),
  /** The whole answer is sent to the caller. */
  ANSWER(false, true),
  /** Between requests. */
  IDLE(true, false);

  private final boolean closable;
  private final boolean holdsForSlowPeers;

  IngressPhase(boolean closable, boolean holdsForSlowPeers) {
    this.closable = closable;
    this.holdsForSlowPeers = holdsForSlowPeers;
  }

  /** Returns whether the connection may be closed in favour of a new one. */
  boolean closable() {
    return closable;
  }

  /** Returns whether what is held depends on how fast the caller or an upstream sends or reads. */
  boolean holdsForSlowPeers() {
    return holdsForSlowPeers;
  }

  /** Returns whether a whole answer is held, which is given back once the caller has it. */
  boolean holdsAnswer() {
    return this == RECEIVING_ANSWER || this == ANSWER;
  }
}
