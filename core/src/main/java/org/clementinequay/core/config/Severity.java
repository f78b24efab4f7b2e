package org.clementinequay.core.config;

import java.util.Locale;

/** Whether a finding prevents the use of a document. */
public enum Severity {
  /** The document cannot be used. */
  ERROR,
  /** The document can be used, but probably does not do what was meant. */
  WARNING;

  /** Returns the word used in messages and in JSON. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
