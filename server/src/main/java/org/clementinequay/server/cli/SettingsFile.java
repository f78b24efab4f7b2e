package org.clementinequay.server.cli;

import org.clementinequay.server.settings.ParsedSettings;
import org.clementinequay.server.settings.Settings;
import org.clementinequay.server.settings.SettingsParser;

/** Reads the settings file that a command names. */
final class SettingsFile {
  private SettingsFile() {}

  /** Returns the settings; findings go to standard error, and errors end the command. */
  static Settings read(String path, Terminal terminal) throws CommandException {
    ParsedSettings parsed = SettingsParser.parse(TextFiles.read(path));
    parsed.findings().forEach(finding -> terminal.err().println(finding.format(path)));
    return parsed
        .settings()
        .orElseThrow(
            () -> new CommandException(ExitCode.USAGE, "the settings in " + path + " have errors"));
  }
}
