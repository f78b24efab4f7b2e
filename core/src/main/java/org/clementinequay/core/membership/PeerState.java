package org.clementinequay.core.membership;

/** State of a peer as its heartbeats show it. */
public enum PeerState {
  /** The peer answers heartbeats. */
  ALIVE(true, true),
  /** The peer answers heartbeats and has announced its shutdown. */
  LEAVING(true, false),
  /** The peer has not answered a heartbeat for longer than the progress timeout. */
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

  /** Returns whether the peer may be assigned a new duty. */
  public boolean takesDuties() {
    return takesDuties;
  }
}
