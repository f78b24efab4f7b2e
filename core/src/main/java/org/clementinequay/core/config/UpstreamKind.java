package org.clementinequay.core.config;

import java.util.Locale;
import java.util.Optional;

/** What an upstream serves. */
public enum UpstreamKind {
  /** A model engine that serves model versions. */
  ENGINE,
  /** A plain service that serves routes. */
  SERVICE;

  /** Returns the word used in documents. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the kind of the given word. */
  public static Optional<UpstreamKind> ofLabel(String label) {
    for (UpstreamKind kind : values()) {
      if (kind.label().equals(label)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
