package org.clementinequay.server.operator;

import org.clementinequay.core.RouterException;

/**
 * Signals that too many passwords are being checked at the same time; the same request may succeed
 * later.
 */
public final class PasswordChecksBusyException extends RouterException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message asks the operator to try again. */
  public PasswordChecksBusyException() {
    super("too many passwords are being checked; try again in a few seconds", null);
  }
}
