package org.clementinequay.server.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.UUID;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.clementinequay.server.document.DocumentParser;
import org.clementinequay.server.document.ParsedDocument;
import org.clementinequay.server.operator.OperatorJson;

/** Validates a configuration document locally and submits it to an entry host. */
final class ApplyCommand implements Command {
  private final OptionParser parser = new OptionParser();
  private final RemoteOptions remote = new RemoteOptions(parser);
  private final OptionSpec<Long> baseRevision =
      parser
          .accepts("base", "revision that the file is based on; 0 for the first document")
          .withRequiredArg()
          .ofType(Long.class)
          .defaultsTo(0L);
  private final OptionSpec<String> submissionId =
      parser
          .accepts("submission-id", "id of an earlier submission with unknown result, to retry it")
          .withRequiredArg();
  private final OptionSpec<String> output = OutputFormat.declare(parser);
  private final OptionSpec<String> file = parser.nonOptions("document to submit");

  @Override
  public String name() {
    return "apply";
  }

  @Override
  public String synopsis() {
    return "--host ADDRESS --operator NAME [--base N] FILE";
  }

  @Override
  public String summary() {
    return "Validates a document and submits it; refused if a revision newer than the base exists.";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) throws CommandException {
    OutputFormat format = OutputFormat.of(options, output);
    List<String> files = options.valuesOf(file);
    if (files.size() != 1) {
      throw new CommandException(ExitCode.USAGE, "expected exactly one FILE");
    }
    String path = files.get(0);
    String text = TextFiles.read(path);
    ParsedDocument parsed = DocumentParser.parse(text);
    if (parsed.configuration().isEmpty()) {
      FindingPrinter.print(path, parsed.findings(), format, terminal);
      return ExitCode.REFUSED;
    }
    parsed.findings().forEach(finding -> terminal.err().println(finding.format(path)));
    String id =
        options.has(submissionId) ? options.valueOf(submissionId) : UUID.randomUUID().toString();
    OperatorClient.Response response = submit(options, terminal, id, text);
    if (format == OutputFormat.JSON) {
      terminal.out().println(response.body());
    } else {
      printResult(response, terminal);
    }
    if (response.ok()) {
      return ExitCode.DONE;
    }
    return response.conflict() ? ExitCode.LOST_RACE : ExitCode.REFUSED;
  }

  private OperatorClient.Response submit(
      OptionSet options, Terminal terminal, String id, String text) throws CommandException {
    ObjectNode body =
        OperatorJson.object()
            .put("base_revision", options.valueOf(baseRevision))
            .put("submission_id", id)
            .put("document", text);
    try {
      return remote.connect(options, terminal).post("/api/configuration", body);
    } catch (CommandException e) {
      if (e.code() == ExitCode.UNREACHABLE) {
        terminal
            .err()
            .println(
                "The result is unknown. Repeat the command with --submission-id "
                    + id
                    + " to retrieve it; a repeated submission is never applied twice.");
      }
      throw e;
    }
  }

  private static void printResult(OperatorClient.Response response, Terminal terminal) {
    if (response.ok()) {
      terminal
          .out()
          .println("accepted as revision " + response.body().path("revision").longValue());
      return;
    }
    JsonNode error = response.body().path("error");
    terminal.err().println(error.path("message").asText());
    error
        .path("findings")
        .forEach(
            finding ->
                terminal
                    .err()
                    .println(
                        finding.path("pointer").asText()
                            + ": "
                            + finding.path("message").asText()));
    if (response.conflict()) {
      JsonNode winner = error.path("winner");
      terminal
          .err()
          .printf(
              "%s submitted revision %d at %s. Changes since your base revision:%n",
              winner.path("operator").asText(),
              winner.path("revision").longValue(),
              winner.path("accepted_at").asText());
      ChangePrinter.print(error.path("changes"), terminal.err());
    }
  }
}
