package org.clementinequay.core.platform;

import org.clementinequay.core.RouterException;

/** Thrown if the service no longer has the changes after the requested revision. */
public final class HistoryLostException extends RouterException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public HistoryLostException(String message) {
    super(message, null);
  }
}
