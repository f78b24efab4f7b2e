package org.clementinequay.server.gateway;

import org.clementinequay.core.RouterException;

/** A caller's request cannot be understood. */
public final class MalformedRequestException extends RouterException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public MalformedRequestException(String message) {
    super(message, null);
  }
}
