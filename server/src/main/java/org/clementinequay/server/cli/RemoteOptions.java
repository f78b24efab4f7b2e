package org.clementinequay.server.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Connection options shared by the commands that call an entry host. */
final class RemoteOptions {
  /** Environment variable of the operator password; an option would show in process lists. */
  static final String PASSWORD_VARIABLE = "CLEMENTINEQUAY_PASSWORD";

  private final OptionSpec<String> host;
  private final OptionSpec<String> operator;
  private final OptionSpec<Void> tls;

  RemoteOptions(OptionParser parser) {
    host =
        parser
            .accepts("host", "operator address of an entry host, as host:port")
            .withRequiredArg()
            .required();
    operator =
        parser
            .accepts("operator", "operator name; the password is read from " + PASSWORD_VARIABLE)
            .withRequiredArg()
            .required();
    tls = parser.accepts("tls", "use HTTPS");
  }

  OperatorClient connect(OptionSet options, Terminal terminal) throws CommandException {
    String scheme = options.has(tls) ? "https" : "http";
    return new OperatorClient(
        scheme + "://" + options.valueOf(host), options.valueOf(operator), password(terminal));
  }

  static String password(Terminal terminal) throws CommandException {
    String password = terminal.environment().get(PASSWORD_VARIABLE);
    if (password == null || password.isEmpty()) {
      throw new CommandException(
          ExitCode.USAGE, "environment variable " + PASSWORD_VARIABLE + " is not set");
    }
    return password;
  }
}
