package org.clementinequay.server.cli;

import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.clementinequay.core.config.Finding;
import org.clementinequay.server.document.DocumentParser;
import org.clementinequay.server.settings.SettingsParser;

/** Validates a configuration document or a settings file locally, without an entry host. */
final class CheckCommand implements Command {
  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> settingsFile =
      parser.accepts("settings", "validate the settings of an entry host").withRequiredArg();
  private final OptionSpec<String> output = OutputFormat.declare(parser);
  private final OptionSpec<String> file = parser.nonOptions("configuration document to validate");

  @Override
  public String name() {
    return "check";
  }

  @Override
  public String synopsis() {
    return "FILE | --settings FILE";
  }

  @Override
  public String summary() {
    return "Validates a configuration document or settings and prints all findings.";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) throws CommandException {
    OutputFormat format = OutputFormat.of(options, output);
    List<String> files = options.valuesOf(file);
    boolean checkSettings = options.has(settingsFile);
    if (files.size() + (checkSettings ? 1 : 0) != 1) {
      throw new CommandException(ExitCode.USAGE, "expected either one FILE or --settings FILE");
    }
    String path = checkSettings ? options.valueOf(settingsFile) : files.get(0);
    String text = TextFiles.read(path);
    List<Finding> findings =
        checkSettings
            ? SettingsParser.parse(text).findings()
            : DocumentParser.parse(text).findings();
    FindingPrinter.print(path, findings, format, terminal);
    if (!Finding.hasErrors(findings)) {
      return ExitCode.DONE;
    }
    return checkSettings ? ExitCode.USAGE : ExitCode.REFUSED;
  }
}
