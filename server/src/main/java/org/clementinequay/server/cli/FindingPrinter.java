package org.clementinequay.server.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.clementinequay.core.config.Finding;
import org.clementinequay.server.operator.OperatorJson;

/** Prints the findings of a validated file. */
final class FindingPrinter {
  private FindingPrinter() {}

  /** Prints to standard output: one line per finding, or one JSON object for all of them. */
  static void print(String file, List<Finding> findings, OutputFormat format, Terminal terminal) {
    if (format == OutputFormat.JSON) {
      ObjectNode body = OperatorJson.object().put("file", file);
      body.set("findings", OperatorJson.findings(findings));
      terminal.out().println(OperatorJson.text(body));
    } else {
      findings.forEach(finding -> terminal.out().println(finding.format(file)));
    }
  }
}
