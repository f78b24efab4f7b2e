package org.clementinequay.server.document;

import java.util.List;
import java.util.Optional;
import org.clementinequay.core.config.Finding;
import org.clementinequay.core.config.RouterConfiguration;

/**
 * Result of parsing and validating a configuration document.
 *
 * @param configuration the configuration; empty if there are errors
 * @param findings errors and warnings in the order of the text
 */
public record ParsedDocument(Optional<RouterConfiguration> configuration, List<Finding> findings) {
  /** Copies the findings, so that later changes to the given list have no effect. */
  public ParsedDocument {
    findings = List.copyOf(findings);
  }
}
