package org.clementinequay.core.lease;

import org.clementinequay.core.RouterException;

/** An order was not sent, because the lease is not held or its validity is nearly over. */
public final class LeaseNotHeldException extends RouterException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public LeaseNotHeldException(String message) {
    super(message, null);
  }
}
