package org.clementinequay.core.ingress;

/** What a connection is doing, by which its bytes or the connection itself may be reclaimed. */
enum IngressPhase {
  /** No byte has arrived yet. */
  UNUSED(true, false),
  HEAD(true, true),
  BODY(false, true),
  /** The request is passed on; what is held for it may be needed for another attempt. */
  RUNNING(false, false),
  ANSWER(false, true),
  /** Between requests. */
  IDLE(true, false);

  private final boolean closable;
  private final boolean holdsForSlowCallers;

  IngressPhase(boolean closable, boolean holdsForSlowCallers) {
    this.closable = closable;
    this.holdsForSlowCallers = holdsForSlowCallers;
  }

  /** Returns whether the connection may be closed in favour of a new one. */
  boolean closable() {
    return closable;
  }

  /** Returns whether what is held depends on how fast the caller sends or reads. */
  boolean holdsForSlowCallers() {
    return holdsForSlowCallers;
  }
}
