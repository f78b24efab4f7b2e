package org.clementinequay.server.cli;

import org.clementinequay.core.RouterException;

/** Ends a command with an exit code and a message for standard error. */
public final class CommandException extends RouterException {
  private static final long serialVersionUID = 1L;

  private final ExitCode code;

  /** Creates an exception with a message for standard error. */
  public CommandException(ExitCode code, String message) {
    super(message, null);
    this.code = code;
  }

  ExitCode code() {
    return code;
  }
}
