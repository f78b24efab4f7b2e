package org.clementinequay.core.config;

import java.util.Objects;

/**
 * A configuration together with the revision under which it was accepted.
 *
 * @param revision number of the revision, starting at 1
 * @param hash hexadecimal SHA-256 of the document's text
 * @param text the document as submitted, JSON with comments
 * @param configuration the parsed document
 */
public record RevisionedConfiguration(
    long revision, String hash, String text, RouterConfiguration configuration) {
  /** Rejects null components. */
  public RevisionedConfiguration {
    Objects.requireNonNull(hash);
    Objects.requireNonNull(text);
    Objects.requireNonNull(configuration);
  }
}
