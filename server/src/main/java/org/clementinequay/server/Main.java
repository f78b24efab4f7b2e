package org.clementinequay.server;

import org.clementinequay.server.cli.Command;
import org.clementinequay.server.cli.CommandLine;
import org.clementinequay.server.cli.Terminal;
import org.clementinequay.server.entry.EntryProcess;
import org.clementinequay.server.logging.JsonLogging;

/** Main class of the program. */
public final class Main {
  private Main() {}

  /** Runs the command in the arguments and exits with its exit code. */
  public static void main(String[] args) {
    run(args);
  }

  /**
   * As {@link #main}, with further commands.
   *
   * @param more commands of the program that embeds this one
   */
  public static void run(String[] args, Command... more) {
    JsonLogging.install(System.err);
    System.exit(new CommandLine(Terminal.system(), new EntryProcess(), more).run(args).number());
  }
}
