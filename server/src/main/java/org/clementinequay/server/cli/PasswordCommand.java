package org.clementinequay.server.cli;

import java.security.SecureRandom;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.clementinequay.server.settings.PasswordHash;

/** Prints the password hash that the settings of an entry host take. */
final class PasswordCommand implements Command {
  private static final int MIN_LENGTH = 8;

  private final OptionParser parser = new OptionParser();

  @Override
  public String name() {
    return "password";
  }

  @Override
  public String synopsis() {
    return "";
  }

  @Override
  public String summary() {
    return "Prints the hash, for the settings, of the password in "
        + RemoteOptions.PASSWORD_VARIABLE
        + ".";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) throws CommandException {
    String password = RemoteOptions.password(terminal);
    if (password.length() < MIN_LENGTH) {
      throw new CommandException(
          ExitCode.REFUSED, "the password is shorter than " + MIN_LENGTH + " characters");
    }
    PasswordHash hash =
        PasswordHash.create(
            password.toCharArray(), PasswordHash.DEFAULT_ITERATIONS, new SecureRandom());
    terminal.out().println(hash.encode());
    return ExitCode.DONE;
  }
}
