package org.clementinequay.server.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.clementinequay.core.config.ConfigurationDiff;
import org.clementinequay.core.config.Finding;
import org.clementinequay.server.operator.OperatorJson;

/** Prints the findings of a validated file, and what it changes. */
public final class FindingPrinter {
  private FindingPrinter() {}

  /**
   * Prints to standard output: one line for each finding and each change, or one JSON object.
   *
   * @param changes changes to the document in force; empty if the file cannot be compared
   */
  public static void print(
      String file,
      List<Finding> findings,
      Optional<List<ConfigurationDiff.Change>> changes,
      OutputFormat format,
      Terminal terminal) {
    if (format == OutputFormat.JSON) {
      ObjectNode body = OperatorJson.object().put("file", file);
      body.set("findings", OperatorJson.findings(findings));
      changes.ifPresent(list -> body.set("changes", OperatorJson.changes(list)));
      terminal.out().println(OperatorJson.text(body));
    } else {
      print(file, findings, format, terminal);
      changes.ifPresent(list -> list.forEach(terminal.out()::println));
    }
  }

  /** Prints to standard output: one line per finding, or one JSON object for all of them. */
  public static void print(
      String file, List<Finding> findings, OutputFormat format, Terminal terminal) {
    if (format == OutputFormat.JSON) {
      ObjectNode body = OperatorJson.object().put("file", file);
      body.set("findings", OperatorJson.findings(findings));
      terminal.out().println(OperatorJson.text(body));
    } else {
      findings.forEach(finding -> terminal.out().println(finding.format(file)));
    }
  }
}
