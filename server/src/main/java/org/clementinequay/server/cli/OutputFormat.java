package org.clementinequay.server.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Output format of a command's result. */
public enum OutputFormat {
  TEXT,
  JSON;

  /** Declares the option {@code --output} of a command. */
  public static OptionSpec<String> declare(OptionParser parser) {
    return parser
        .accepts("output", "output format: text or json")
        .withRequiredArg()
        .defaultsTo("text");
  }

  /**
   * Returns the selected format.
   *
   * @throws CommandException if the value is neither {@code text} nor {@code json}
   */
  public static OutputFormat of(OptionSet options, OptionSpec<String> spec)
      throws CommandException {
    return switch (options.valueOf(spec)) {
      case "text" -> TEXT;
      case "json" -> JSON;
      default -> throw new CommandException(ExitCode.USAGE, "--output must be text or json");
    };
  }
}
