package org.clementinequay.server.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A subcommand of the command line. */
public interface Command {
  /** Returns the first command-line argument, which selects this command. */
  String name();

  /** Returns the options and operands for the usage line; empty if there are none. */
  String synopsis();

  /** Returns a one-sentence description for the help output. */
  String summary();

  /** Returns the parser that declares the options of this command. */
  OptionParser parser();

  /**
   * Runs the command.
   *
   * @throws CommandException if the command fails with a message for standard error
   */
  ExitCode run(OptionSet options, Terminal terminal) throws CommandException;
}
