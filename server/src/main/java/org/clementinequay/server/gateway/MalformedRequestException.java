package org.clementinequay.server.gateway;

import org.clementinequay.core.RouterException;

/** The head of a caller's request cannot be accepted; the message is sent to the caller. */
public final class MalformedRequestException extends RouterException {
  private static final long serialVersionUID = 1L;

  public MalformedRequestException(String message) {
    super(message, null);
  }
}
