package org.clementinequay.server.cli;

import java.util.Objects;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Prints the version from the manifest of the program's jar. */
final class VersionCommand implements Command {
  private final OptionParser parser = new OptionParser();

  @Override
  public String name() {
    return "version";
  }

  @Override
  public String synopsis() {
    return "";
  }

  @Override
  public String summary() {
    return "Prints the version of the program.";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) {
    String version = VersionCommand.class.getPackage().getImplementationVersion();
    terminal
        .out()
        .println(CommandLine.PROGRAM + " " + Objects.requireNonNullElse(version, "(not packaged)"));
    return ExitCode.DONE;
  }
}
