package org.clementinequay.server.cli;

import java.util.List;
import java.util.Map;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Lists the commands or explains one. */
final class HelpCommand implements Command {
  private final Map<String, Command> commands;
  private final OptionParser parser = new OptionParser();

  HelpCommand(Map<String, Command> commands) {
    this.commands = commands;
    parser.nonOptions("command to explain");
  }

  @Override
  public String name() {
    return "help";
  }

  @Override
  public String arguments() {
    return "[COMMAND]";
  }

  @Override
  public String summary() {
    return "Lists the commands or explains one.";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) throws CommandException {
    List<?> names = options.nonOptionArguments();
    if (names.isEmpty()) {
      list(terminal);
      return ExitCode.DONE;
    }
    Command command = commands.get(names.get(0).toString());
    if (command == null) {
      throw new CommandException(ExitCode.USAGE, "unknown command \"" + names.get(0) + "\"");
    }
    CommandLine.printHelp(command, terminal);
    return ExitCode.DONE;
  }

  private void list(Terminal terminal) {
    terminal.out().println("Usage: " + CommandLine.PROGRAM + " COMMAND [OPTIONS]");
    terminal.out().println();
    for (Command command : commands.values()) {
      terminal.out().printf("  %-9s %s%n", command.name(), command.summary());
    }
    terminal.out().println();
    terminal
        .out()
        .println(
            "Exit codes: 0 done, 1 refused or findings, 2 usage error or invalid settings,"
                + " 3 entry host or platform cannot be reached, 4 lost a race.");
  }
}
