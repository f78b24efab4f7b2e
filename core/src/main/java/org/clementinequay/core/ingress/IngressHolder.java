package org.clementinequay.core.ingress;

/**
 * Owner of the bytes of an {@link IngressShare}. Its methods are called while the budget is locked:
 * they only hand the work to another thread.
 */
public interface IngressHolder {
  /** The bytes for which the holder waited were taken for it. */
  void resume();

  /** The holder must refuse the request or close the connection, and release its bytes. */
  void turnAway(TurnAway limit);
}
