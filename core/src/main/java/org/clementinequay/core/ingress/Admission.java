package org.clementinequay.core.ingress;

/** Answer to a caller's request for room. */
public enum Admission {
  ADMITTED,
  /** Nothing more must be read from the peer until {@link IngressHolder#resume}. */
  HELD_BACK,
  /** {@link IngressHolder#turnAway} was called. */
  REFUSED
}
