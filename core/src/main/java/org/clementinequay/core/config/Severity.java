package org.clementinequay.core.config;

import java.util.Locale;

/** Severity of a {@link Finding}. */
public enum Severity {
  /** The document cannot be used. */
  ERROR,
  /** The document can be used, but probably does not have the intended effect. */
  WARNING;

  /** Returns the lower-case name that is used in messages and in JSON. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
