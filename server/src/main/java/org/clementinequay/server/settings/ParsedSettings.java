package org.clementinequay.server.settings;

import java.util.List;
import java.util.Optional;
import org.clementinequay.core.config.Finding;

/**
 * Result of parsing settings.
 *
 * @param settings the parsed settings; empty if there are errors
 * @param findings errors and warnings in the order of their location in the text
 */
public record ParsedSettings(Optional<Settings> settings, List<Finding> findings) {
  /** Copies the list. */
  public ParsedSettings {
    findings = List.copyOf(findings);
  }
}
