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

/** Submits a document. */
final class ApplyCommand implements Command {
  private final OptionParser parser = new OptionParser();
  private final RemoteOptions remote = new RemoteOptions(parser);
  private final OptionSpec<Long> base =
      parser
          .accepts("base", "revision that the file was made from; 0 for the first document")
          .withRequiredArg()
          .ofType(Long.class)
          .defaultsTo(0L);
  private final OptionSpec<String> submission =
      parser
          .accepts("submission-id", "id of an earlier submission with unknown result, to repeat it")
          .withRequiredArg();
  private final OptionSpec<String> output = OutputFormat.declare(parser);
  private final OptionSpec<String> file = parser.nonOptions("document to submit");

  @Override
  public String name() {
    return "apply";
  }

  @Override
  public String arguments() {
    return "--host ADDRESS --operator NAME [--base N] FILE";
  }

  @Override
  public String summary() {
    return "Checks a document and submits it; refused if another revision followed the base.";
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
      throw new CommandException(ExitCode.USAGE, "name one FILE");
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
        options.has(submission) ? options.valueOf(submission) : UUID.randomUUID().toString();
    OperatorClient.Answer answer = submit(options, terminal, id, text);
    if (format == OutputFormat.JSON) {
      terminal.out().println(answer.body());
    } else {
      report(answer, terminal);
    }
    if (answer.ok()) {
      return ExitCode.DONE;
    }
    return answer.lostRace() ? ExitCode.LOST_RACE : ExitCode.REFUSED;
  }

  private OperatorClient.Answer submit(OptionSet options, Terminal terminal, String id, String text)
      throws CommandException {
    ObjectNode body =
        OperatorJson.object()
            .put("base_revision", options.valueOf(base))
            .put("submission_id", id)
            .put("document", text);
    try {
      return remote.connect(options, terminal).submit("/api/configuration", body);
    } catch (CommandException e) {
      if (e.code() == ExitCode.UNREACHABLE) {
        terminal
            .err()
            .println(
                "The result is not known. Repeat the command with --submission-id "
                    + id
                    + " to learn it; a repeat is never applied twice.");
      }
      throw e;
    }
  }

  private static void report(OperatorClient.Answer answer, Terminal terminal) {
    if (answer.ok()) {
      terminal.out().println("accepted as revision " + answer.body().path("revision").longValue());
      return;
    }
    JsonNode error = answer.body().path("error");
    terminal.err().println(error.path("message").asText());
    error
        .path("findings")
        .forEach(
            f ->
                terminal
                    .err()
                    .println(f.path("pointer").asText() + ": " + f.path("message").asText()));
    if (answer.lostRace()) {
      JsonNode winner = error.path("winner");
      terminal
          .err()
          .printf(
              "%s submitted revision %d at %s. Changes since your base:%n",
              winner.path("operator").asText(),
              winner.path("revision").longValue(),
              winner.path("accepted_at").asText());
      ChangePrinter.print(error.path("changes"), terminal.err());
    }
  }
}
