package org.clementinequay.server.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Entry point of the command line: selects a command, parses its options and runs it. */
public final class CommandLine {
  static final String PROGRAM = "clementinequay";
  private static final String HELP_OPTION = "help";

  private final Map<String, Command> commands = new LinkedHashMap<>();
  private final Terminal terminal;

  /**
   * Creates the command line with all commands.
   *
   * @param launcher runs the entry host for the {@code entry} command
   * @param more commands of the program that embeds this command line
   */
  public CommandLine(Terminal terminal, EntryLauncher launcher, Command... more) {
    this.terminal = terminal;
    List<Command> all = new ArrayList<>();
    all.addAll(
        List.of(
            new EntryCommand(launcher),
            new CheckCommand(),
            new ShowCommand(),
            new DiffCommand(),
            new ApplyCommand(),
            new HistoryCommand(),
            new StatusCommand(),
            new BillCommand(),
            new PasswordCommand(),
            new VersionCommand(),
            new HelpCommand(commands)));
    all.addAll(List.of(more));
    all.forEach(command -> commands.put(command.name(), command));
  }

  /**
   * Runs the command named by the first argument. Errors of the command go to standard error.
   *
   * @return {@link ExitCode#USAGE} if there are no arguments, after the help was printed
   */
  public ExitCode run(String... args) {
    String name = args.length == 0 ? "help" : args[0];
    boolean helpOption = name.equals("--help") || name.equals("-h");
    Command command = commands.get(helpOption ? "help" : name);
    if (command == null) {
      terminal.err().println(PROGRAM + ": unknown command \"" + name + "\"; try: help");
      return ExitCode.USAGE;
    }
    ExitCode code =
        run(command, args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length));
    return args.length == 0 ? ExitCode.USAGE : code;
  }

  private ExitCode run(Command command, String[] args) {
    OptionParser parser = command.parser();
    parser.accepts(HELP_OPTION, "print this help").forHelp();
    try {
      OptionSet options = parser.parse(args);
      if (options.has(HELP_OPTION)) {
        printHelp(command, terminal);
        return ExitCode.DONE;
      }
      return command.run(options, terminal);
    } catch (OptionException e) {
      terminal
          .err()
          .println(
              PROGRAM
                  + " "
                  + command.name()
                  + ": "
                  + e.getMessage()
                  + "; try: help "
                  + command.name());
      return ExitCode.USAGE;
    } catch (CommandException e) {
      terminal.err().println(PROGRAM + " " + command.name() + ": " + e.getMessage());
      return e.code();
    }
  }

  static void printHelp(Command command, Terminal terminal) {
    terminal
        .out()
        .println(("Usage: " + PROGRAM + " " + command.name() + " " + command.synopsis()).trim());
    terminal.out().println(command.summary());
    terminal.out().println();
    try {
      command.parser().printHelpOn(terminal.out());
    } catch (IOException e) {
      terminal.err().println("cannot print the help: " + e.getMessage());
    }
  }
}
