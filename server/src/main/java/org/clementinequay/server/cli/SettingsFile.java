package org.clementinequay.server.cli;

import org.clementinequay.server.settings.ParsedSettings;
import org.clementinequay.server.settings.Settings;
import org.clementinequay.server.settings.SettingsParser;

/** Reads and validates the settings file of an entry host. */
final class SettingsFile {
  private SettingsFile() {}

  /**
   * Returns the settings and prints all findings to standard error.
   *
   * @throws CommandException if the file cannot be read or has errors
   */
  static Settings read(String path, Terminal terminal) throws CommandException {
    ParsedSettings parsed = SettingsParser.parse(TextFiles.read(path));
    parsed.findings().forEach(finding -> terminal.err().println(finding.format(path)));
    return parsed
        .settings()
        .orElseThrow(
            () -> new CommandException(ExitCode.USAGE, "the settings in " + path + " have errors"));
  }
}
