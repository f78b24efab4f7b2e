package org.clementinequay.core.dispatch;

import org.clementinequay.core.RouterException;

/**
 * Thrown if the event stream of an upstream violates the framing, the order of events or the
 * identity of the attempt.
 */
public final class CorruptStreamException extends RouterException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception without a cause. */
  public CorruptStreamException(String message) {
    super(message, null);
  }
}
