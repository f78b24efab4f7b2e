package org.clementinequay.server.cli;

import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.clementinequay.core.config.ConfigurationDiff;
import org.clementinequay.core.config.Finding;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.server.document.DocumentParser;
import org.clementinequay.server.document.ParsedDocument;
import org.clementinequay.server.settings.SettingsParser;

/** Validates a configuration document or a settings file locally, without an entry host. */
final class CheckCommand implements Command {
  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> settingsFile =
      parser.accepts("settings", "validate the settings of an entry host").withRequiredArg();
  private final OptionSpec<String> against =
      parser
          .accepts("against", "document to which the changes are printed")
          .withRequiredArg()
          .describedAs("FILE");
  private final OptionSpec<String> output = OutputFormat.declare(parser);
  private final OptionSpec<String> file = parser.nonOptions("configuration document to validate");

  @Override
  public String name() {
    return "check";
  }

  @Override
  public String synopsis() {
    return "FILE [--against FILE] | --settings FILE";
  }

  @Override
  public String summary() {
    return "Validates a document or settings and prints all findings, and what a document changes.";
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
    if (checkSettings) {
      if (options.has(against)) {
        throw new CommandException(ExitCode.USAGE, "--against takes a configuration document");
      }
      String path = options.valueOf(settingsFile);
      List<Finding> findings = SettingsParser.parse(TextFiles.read(path)).findings();
      FindingPrinter.print(path, findings, format, terminal);
      return Finding.hasErrors(findings) ? ExitCode.USAGE : ExitCode.DONE;
    }
    return checkDocument(files.get(0), options, format, terminal);
  }

  private ExitCode checkDocument(
      String path, OptionSet options, OutputFormat format, Terminal terminal)
      throws CommandException {
    ParsedDocument parsed = DocumentParser.parse(TextFiles.read(path));
    if (!options.has(against)) {
      FindingPrinter.print(path, parsed.findings(), format, terminal);
    } else {
      RouterConfiguration before = accepted(options.valueOf(against));
      FindingPrinter.print(
          path,
          parsed.findings(),
          parsed.configuration().map(after -> ConfigurationDiff.between(before, after)),
          format,
          terminal);
    }
    return Finding.hasErrors(parsed.findings()) ? ExitCode.REFUSED : ExitCode.DONE;
  }

  private static RouterConfiguration accepted(String path) throws CommandException {
    return DocumentParser.parse(TextFiles.read(path))
        .configuration()
        .orElseThrow(() -> new CommandException(ExitCode.USAGE, path + " has errors"));
  }
}
