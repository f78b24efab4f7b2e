package org.clementinequay.server.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.clementinequay.core.config.Finding;
import org.clementinequay.server.operator.OperatorJson;

/** Prints findings. */
final class FindingPrinter {
  private FindingPrinter() {}

  /** Prints to standard output in the chosen form. */
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
