package org.clementinequay.server.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Prints the bill of a client account for a time range. */
final class BillCommand implements Command {
  private final OptionParser parser = new OptionParser();
  private final RemoteOptions remote = new RemoteOptions(parser);
  private final OptionSpec<String> account =
      parser.accepts("account", "client account").withRequiredArg().required();
  private final OptionSpec<String> from =
      parser
          .accepts("from", "start time, inclusive, such as 2026-12-01T00:00:00Z")
          .withRequiredArg()
          .required();
  private final OptionSpec<String> to =
      parser.accepts("to", "end time, exclusive").withRequiredArg().required();
  private final OptionSpec<String> output = OutputFormat.declare(parser);

  @Override
  public String name() {
    return "bill";
  }

  @Override
  public String synopsis() {
    return "--host ADDRESS --operator NAME --account NAME --from TIME --to TIME";
  }

  @Override
  public String summary() {
    return "Prints the bill of a client account, in millionths of the billing unit.";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) throws CommandException {
    OutputFormat format = OutputFormat.of(options, output);
    Map<String, String> query =
        Map.of(
            "account", options.valueOf(account),
            "from", options.valueOf(from),
            "to", options.valueOf(to));
    JsonNode body = remote.connect(options, terminal).get("/api/bill", query);
    if (format == OutputFormat.JSON) {
      terminal.out().println(body);
      return ExitCode.DONE;
    }
    TextTable table = new TextTable("ITEM", "ATTEMPTS", "PROMPT", "COMPLETION", "COST");
    for (JsonNode line : body.path("lines")) {
      table.addRow(
          line.path("item").asText(),
          line.path("attempts").asText(),
          line.path("prompt_tokens").asText(),
          line.path("completion_tokens").asText(),
          line.path("cost_micros").asText());
    }
    table.print(terminal.out());
    terminal
        .out()
        .printf(
            "%d requests, total cost %d%n",
            body.path("requests").longValue(), body.path("cost_micros").longValue());
    return ExitCode.DONE;
  }
}
