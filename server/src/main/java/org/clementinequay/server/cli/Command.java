package org.clementinequay.server.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** One command of the command line. */
interface Command {
  /** Returns the word that selects the command. */
  String name();

  /** Returns the arguments in short form. */
  String arguments();

  /** Returns what the command does, in one sentence. */
  String summary();

  /** Returns the parser of its options. */
  OptionParser parser();

  /** Runs the command. */
  ExitCode run(OptionSet options, Terminal terminal) throws CommandException;
}
