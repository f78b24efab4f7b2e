package org.clementinequay.core.platform;

import org.clementinequay.core.RouterException;

/** The service no longer has the history of changes that was asked for. */
public final class HistoryLostException extends RouterException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public HistoryLostException(String message) {
    super(message, null);
  }
}
