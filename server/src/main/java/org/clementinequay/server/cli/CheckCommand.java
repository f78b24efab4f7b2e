package org.clementinequay.server.cli;

import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.clementinequay.core.config.Finding;
import org.clementinequay.server.document.DocumentParser;
import org.clementinequay.server.settings.SettingsParser;

/** Checks a configuration document or settings without a connection. */
final class CheckCommand implements Command {
  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> settingsFile =
      parser.accepts("settings", "check settings of an entry host").withRequiredArg();
  private final OptionSpec<String> output = OutputFormat.declare(parser);
  private final OptionSpec<String> file = parser.nonOptions("configuration document to check");

  @Override
  public String name() {
    return "check";
  }

  @Override
  public String arguments() {
    return "FILE | --settings FILE";
  }

  @Override
  public String summary() {
    return "Checks a configuration document or settings and prints all findings.";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) throws CommandException {
    OutputFormat format = OutputFormat.of(options, output);
    List<String> files = options.valuesOf(file);
    boolean settings = options.has(settingsFile);
    if (files.size() + (settings ? 1 : 0) != 1) {
      throw new CommandException(ExitCode.USAGE, "name one FILE, or --settings FILE");
    }
    String path = settings ? options.valueOf(settingsFile) : files.get(0);
    String text = TextFiles.read(path);
    List<Finding> findings =
        settings ? SettingsParser.parse(text).findings() : DocumentParser.parse(text).findings();
    FindingPrinter.print(path, findings, format, terminal);
    if (!Finding.hasErrors(findings)) {
      return ExitCode.DONE;
    }
    return settings ? ExitCode.USAGE : ExitCode.REFUSED;
  }
}
