package org.clementinequay.core.spread;

import java.util.Optional;
import org.clementinequay.core.config.RouterConfiguration;

/** Turns the text of a document into a configuration. */
@FunctionalInterface
public interface DocumentParser {
  /** Returns the configuration; empty if this release does not understand the text. */
  Optional<RouterConfiguration> parse(String text);
}
