package org.clementinequay.server.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Prints the state of an entry host, its peers and its upstreams. */
final class StatusCommand implements Command {
  private final OptionParser parser = new OptionParser();
  private final RemoteOptions remote = new RemoteOptions(parser);
  private final OptionSpec<String> output = OutputFormat.declare(parser);

  @Override
  public String name() {
    return "status";
  }

  @Override
  public String synopsis() {
    return "--host ADDRESS --operator NAME";
  }

  @Override
  public String summary() {
    return "Prints the state of an entry host and its view of its peers and upstreams.";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) throws CommandException {
    OutputFormat format = OutputFormat.of(options, output);
    JsonNode body = remote.connect(options, terminal).get("/api/status", Map.of());
    if (format == OutputFormat.JSON) {
      terminal.out().println(body);
      return ExitCode.DONE;
    }
    terminal
        .out()
        .printf(
            "%s in %s (%s): %s, revision %d confirmed %d ms ago, %d open requests%n",
            body.path("host").asText(),
            body.path("domain").asText(),
            body.path("region").asText(),
            state(body),
            body.path("revision").longValue(),
            body.path("configuration_age_millis").longValue(),
            body.path("open_requests").longValue());
    for (JsonNode version : body.path("stopped_versions")) {
      terminal.out().println("stopped by monitoring: " + version.asText());
    }
    printConfirmations(body, terminal);
    printPeers(body.path("peers"), terminal);
    printUpstreams(body.path("upstreams"), terminal);
    return ExitCode.DONE;
  }

  private static String state(JsonNode body) {
    if (body.path("leaving").booleanValue()) {
      return "leaving";
    }
    return body.path("ready").booleanValue() ? "ready" : "not ready";
  }

  private static void printConfirmations(JsonNode body, Terminal terminal) {
    if (!body.path("confirmations_known").booleanValue()) {
      terminal.out().println("confirmations are unknown: the platform does not respond");
    } else if (body.path("unconfirmed").isEmpty()) {
      terminal.out().println("confirmed by every listed entry host");
    }
    for (JsonNode host : body.path("unconfirmed")) {
      terminal.out().println("not confirmed by " + host.asText());
    }
  }

  private static void printPeers(JsonNode peers, Terminal terminal) {
    TextTable table = new TextTable("PEER", "DOMAIN", "REVISION", "ROUND TRIP", "LEAVING");
    for (JsonNode peer : peers) {
      table.addRow(
          peer.path("host").asText(),
          peer.path("domain").asText(),
          peer.path("revision").asText(),
          peer.path("round_trip_micros").asText() + " us",
          peer.path("leaving").asText());
    }
    table.print(terminal.out());
  }

  private static void printUpstreams(JsonNode upstreams, Terminal terminal) {
    TextTable table = new TextTable("UPSTREAM", "STATE", "IN PROGRESS");
    for (JsonNode upstream : upstreams) {
      table.addRow(
          upstream.path("name").asText(),
          upstream.path("state").asText(),
          upstream.path("in_progress").asText());
    }
    table.print(terminal.out());
  }
}
