package org.clementinequay.server.cli;

/** Exit codes of the command line. */
public enum ExitCode {
  /** The command succeeded. */
  DONE(0),
  /** The request or the input was refused, for example because of findings of severity error. */
  REFUSED(1),
  /** The command line or the settings are invalid. */
  USAGE(2),
  /** The entry host or the platform cannot be reached. */
  UNREACHABLE(3),
  /** Another submission was accepted since the base revision. */
  LOST_RACE(4);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the number for {@link System#exit}. */
  public int number() {
    return number;
  }
}
