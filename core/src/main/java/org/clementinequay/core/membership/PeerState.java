package org.clementinequay.core.membership;

/** What a host believes of another one. */
public enum PeerState {
  /** Heartbeats are answered. */
  ALIVE(true, true),
  /** Heartbeats are answered and the peer is shutting down. */
  LEAVING(true, false),
  /** Heartbeats went unanswered for longer than the progress timeout. */
  FAILED(false, false);

  private final boolean reachable;
  private final boolean takesDuties;

  PeerState(boolean reachable, boolean takesDuties) {
    this.reachable = reachable;
    this.takesDuties = takesDuties;
  }

  /** Returns whether messages to the peer can be expected to arrive. */
  public boolean reachable() {
    return reachable;
  }

  /** Returns whether the peer may be given a new duty. */
  public boolean takesDuties() {
    return takesDuties;
  }
}
