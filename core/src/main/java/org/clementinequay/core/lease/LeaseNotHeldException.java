package org.clementinequay.core.lease;

import org.clementinequay.core.RouterException;

/** Thrown if an order is not sent because the lease is not held or is about to expire. */
public final class LeaseNotHeldException extends RouterException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public LeaseNotHeldException(String message) {
    super(message, null);
  }
}
