package org.clementinequay.server.cli;

import com.google.common.flogger.FluentLogger;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.clementinequay.server.settings.Settings;

/** Runs an entry host in this process. */
final class EntryCommand implements Command {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> settingsFile =
      parser.accepts("settings", "settings file of this entry host").withRequiredArg().required();
  private final EntryLauncher launcher;

  EntryCommand(EntryLauncher launcher) {
    this.launcher = launcher;
  }

  @Override
  public String name() {
    return "entry";
  }

  @Override
  public String synopsis() {
    return "--settings FILE";
  }

  @Override
  public String summary() {
    return "Runs an entry host until the process receives a stop signal.";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) throws CommandException {
    Settings settings = SettingsFile.read(options.valueOf(settingsFile), terminal);
    if (settings.tls().isPresent()) {
      // Falling back to plain HTTP would silently send passwords and keys unencrypted.
      throw new CommandException(ExitCode.USAGE, "the listeners do not support \"tls\" yet");
    }
    try {
      launcher.run(settings);
      return ExitCode.DONE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.DONE;
    } catch (Exception e) {
      logger.atSevere().withCause(e).log("entry host failed");
      throw new CommandException(ExitCode.REFUSED, "entry host failed: " + e.getMessage());
    }
  }
}
