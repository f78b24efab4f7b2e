package org.clementinequay.server.cli;

/** Exit codes of the program. */
public enum ExitCode {
  /** The command did what it was asked to. */
  DONE(0),
  /** The input was refused, or there are findings that prevent its use. */
  REFUSED(1),
  /** The command line or the settings are wrong. */
  USAGE(2),
  /** The entry host or the platform cannot be reached. */
  UNREACHABLE(3),
  /** Another operator's submission was accepted first. */
  LOST_RACE(4);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit code of the process. */
  public int number() {
    return number;
  }
}
