package org.clementinequay.core.dispatch;

import org.clementinequay.core.RouterException;

/** A stream of an upstream violates the framing, the order of events or the attempt's identity. */
public final class CorruptStreamException extends RouterException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public CorruptStreamException(String message) {
    super(message, null);
  }
}
