package org.clementinequay.server.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Prints the document of a configuration revision. */
final class ShowCommand implements Command {
  private final OptionParser parser = new OptionParser();
  private final RemoteOptions remote = new RemoteOptions(parser);
  private final OptionSpec<Long> revision =
      parser
          .accepts("revision", "revision to print; the latest one if absent")
          .withRequiredArg()
          .ofType(Long.class);
  private final OptionSpec<String> output = OutputFormat.declare(parser);

  @Override
  public String name() {
    return "show";
  }

  @Override
  public String synopsis() {
    return "--host ADDRESS --operator NAME [--revision N]";
  }

  @Override
  public String summary() {
    return "Prints the latest or an earlier document; its revision goes to standard error.";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) throws CommandException {
    OutputFormat format = OutputFormat.of(options, output);
    Map<String, String> query =
        options.has(revision) ? Map.of("revision", options.valueOf(revision).toString()) : Map.of();
    JsonNode body = remote.connect(options, terminal).get("/api/configuration", query);
    if (format == OutputFormat.JSON) {
      terminal.out().println(body);
      return ExitCode.DONE;
    }
    terminal
        .err()
        .printf(
            "revision %d of %s, accepted at %s; in force on this host: %d%n",
            body.path("revision").longValue(),
            body.path("operator").asText("(unknown while the store is down)"),
            body.path("accepted_at").asText("(unknown)"),
            body.path("in_force_here").longValue());
    terminal.out().print(body.path("document").asText());
    return ExitCode.DONE;
  }
}
