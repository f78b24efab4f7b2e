package org.clementinequay.server.cli;

import java.util.List;
import java.util.Map;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Lists all commands or prints the help of one. */
final class HelpCommand implements Command {
  private final Map<String, Command> commands;
  private final OptionParser parser = new OptionParser();

  HelpCommand(Map<String, Command> commands) {
    this.commands = commands;
    parser.nonOptions("command to describe");
  }

  @Override
  public String name() {
    return "help";
  }

  @Override
  public String synopsis() {
    return "[COMMAND]";
  }

  @Override
  public String summary() {
    return "Lists all commands or prints the help of one.";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) throws CommandException {
    List<?> names = options.nonOptionArguments();
    if (names.isEmpty()) {
      listCommands(terminal);
      return ExitCode.DONE;
    }
    Command command = commands.get(names.get(0).toString());
    if (command == null) {
      throw new CommandException(ExitCode.USAGE, "unknown command \"" + names.get(0) + "\"");
    }
    CommandLine.printHelp(command, terminal);
    return ExitCode.DONE;
  }

  private void listCommands(Terminal terminal) {
    terminal.out().println("Usage: " + CommandLine.PROGRAM + " COMMAND [OPTIONS]");
    terminal.out().println();
    for (Command command : commands.values()) {
      terminal.out().printf("  %-9s %s%n", command.name(), command.summary());
    }
    terminal.out().println();
    terminal
        .out()
        .println(
            "Exit codes: 0 success, 1 refused or findings, 2 usage error or invalid settings,"
                + " 3 entry host or platform unreachable, 4 conflict with a newer revision.");
  }
}
