package org.clementinequay.core.session;

import org.clementinequay.core.RouterException;

/** Thrown if a session token is malformed, expired or not signed by a known key. */
public final class InvalidSessionException extends RouterException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception without a cause. */
  public InvalidSessionException(String message) {
    super(message, null);
  }
}
