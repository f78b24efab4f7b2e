package org.clementinequay.core.config;

import java.util.Locale;
import java.util.Optional;

/** Kind of an upstream. */
public enum UpstreamKind {
  /** A model engine that serves model versions. */
  ENGINE,
  /** A plain service that serves routes. */
  SERVICE;

  /** Returns the lower-case name that is used in configuration documents. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the kind with the given label, or empty if there is none. */
  public static Optional<UpstreamKind> ofLabel(String label) {
    for (UpstreamKind kind : values()) {
      if (kind.label().equals(label)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
