package org.clementinequay.server;

import org.clementinequay.server.cli.CommandLine;
import org.clementinequay.server.cli.HostLauncher;
import org.clementinequay.server.cli.Terminal;

/** Entry point. */
public final class Main {
  private Main() {}

  /** Runs the command line. */
  public static void main(String[] args) {
    System.exit(new CommandLine(Terminal.system(), new HostLauncher()).run(args).number());
  }
}
