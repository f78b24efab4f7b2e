package org.clementinequay.core.spread;

import java.util.Optional;
import org.clementinequay.core.config.RouterConfiguration;

/** Parses the text of a configuration document. */
@FunctionalInterface
public interface DocumentParser {
  /** Returns the configuration, or empty if this release of the program cannot parse the text. */
  Optional<RouterConfiguration> parse(String text);
}
