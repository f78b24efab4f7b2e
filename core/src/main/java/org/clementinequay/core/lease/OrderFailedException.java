package org.clementinequay.core.lease;

import org.clementinequay.core.RouterException;

/** Thrown if an upstream did not answer an order, or a request for its state. */
public final class OrderFailedException extends RouterException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception; the cause may be null. */
  public OrderFailedException(String message, Throwable cause) {
    super(message, cause);
  }
}
