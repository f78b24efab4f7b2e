package org.clementinequay.server.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Lists the latest configuration revisions. */
final class HistoryCommand implements Command {
  private final OptionParser parser = new OptionParser();
  private final RemoteOptions remote = new RemoteOptions(parser);
  private final OptionSpec<Integer> limit =
      parser
          .accepts("limit", "maximum number of revisions")
          .withRequiredArg()
          .ofType(Integer.class)
          .defaultsTo(20);
  private final OptionSpec<String> output = OutputFormat.declare(parser);

  @Override
  public String name() {
    return "history";
  }

  @Override
  public String synopsis() {
    return "--host ADDRESS --operator NAME [--limit N]";
  }

  @Override
  public String summary() {
    return "Lists who changed the configuration and when, newest first.";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) throws CommandException {
    OutputFormat format = OutputFormat.of(options, output);
    JsonNode body =
        remote
            .connect(options, terminal)
            .get("/api/history", Map.of("limit", "" + options.valueOf(limit)));
    if (format == OutputFormat.JSON) {
      terminal.out().println(body);
      return ExitCode.DONE;
    }
    TextTable table = new TextTable("REVISION", "ACCEPTED", "OPERATOR", "BASE");
    for (JsonNode record : body.path("revisions")) {
      table.addRow(
          record.path("revision").asText(),
          record.path("accepted_at").asText(),
          record.path("operator").asText(),
          record.path("base_revision").asText());
    }
    table.print(terminal.out());
    return ExitCode.DONE;
  }
}
