package org.clementinequay.server.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.clementinequay.core.config.ConfigurationDiff;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.server.document.DocumentParser;
import org.clementinequay.server.document.ParsedDocument;
import org.clementinequay.server.operator.OperatorJson;

/** Prints the changes from a revision to a document file or to another revision. */
final class DiffCommand implements Command {
  private final OptionParser parser = new OptionParser();
  private final RemoteOptions remote = new RemoteOptions(parser);
  private final OptionSpec<Long> fromRevision =
      parser
          .accepts("from", "earlier revision; the latest one if absent")
          .withRequiredArg()
          .ofType(Long.class);
  private final OptionSpec<Long> toRevision =
      parser
          .accepts("to", "later revision, instead of a file")
          .withRequiredArg()
          .ofType(Long.class);
  private final OptionSpec<String> output = OutputFormat.declare(parser);
  private final OptionSpec<String> file = parser.nonOptions("document to compare");

  @Override
  public String name() {
    return "diff";
  }

  @Override
  public String synopsis() {
    return "--host ADDRESS --operator NAME [--from N] (FILE | --to N)";
  }

  @Override
  public String summary() {
    return "Prints the changes from the latest or an earlier revision to a document or revision.";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) throws CommandException {
    OutputFormat format = OutputFormat.of(options, output);
    List<String> files = options.valuesOf(file);
    if (files.size() + (options.has(toRevision) ? 1 : 0) != 1) {
      throw new CommandException(ExitCode.USAGE, "expected either one FILE or --to N");
    }
    OperatorClient client = remote.connect(options, terminal);
    RouterConfiguration before = readRevision(client, options.valueOf(fromRevision));
    RouterConfiguration after =
        files.isEmpty()
            ? readRevision(client, options.valueOf(toRevision))
            : parseFile(files.get(0), TextFiles.read(files.get(0)), terminal);
    List<ConfigurationDiff.Change> changes = ConfigurationDiff.between(before, after);
    if (format == OutputFormat.JSON) {
      ObjectNode body = OperatorJson.object();
      body.set("changes", OperatorJson.changes(changes));
      terminal.out().println(body);
    } else {
      changes.forEach(terminal.out()::println);
    }
    return ExitCode.DONE;
  }

  private static RouterConfiguration readRevision(OperatorClient client, Long revision)
      throws CommandException {
    Map<String, String> query = revision == null ? Map.of() : Map.of("revision", "" + revision);
    String text = client.get("/api/configuration", query).path("document").asText();
    return DocumentParser.parseAccepted(text)
        .orElseThrow(
            () -> new CommandException(ExitCode.REFUSED, "an accepted document cannot be parsed"));
  }

  private static RouterConfiguration parseFile(String name, String text, Terminal terminal)
      throws CommandException {
    ParsedDocument parsed = DocumentParser.parse(text);
    if (parsed.configuration().isEmpty()) {
      parsed.findings().forEach(finding -> terminal.err().println(finding.format(name)));
      throw new CommandException(ExitCode.REFUSED, name + " has errors");
    }
    return parsed.configuration().get();
  }
}
