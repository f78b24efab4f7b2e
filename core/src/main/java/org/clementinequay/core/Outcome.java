package org.clementinequay.core;

/** What is known about the execution of a request when the entry host answers the caller. */
public enum Outcome {
  /** No byte of the request can have reached an upstream. */
  NOT_RUN("not-run"),
  /** An upstream ran the request and its complete answer was received. */
  RAN("ran"),
  /** The request may have reached an upstream, but it is not known whether it ran. */
  UNKNOWN("unknown");

  private final String label;

  Outcome(String label) {
    this.label = label;
  }

  /** Returns the value written to headers, events and error bodies. */
  public String label() {
    return label;
  }

  /**
   * Returns the outcome with the given label.
   *
   * @throws IllegalArgumentException if no outcome has this label
   */
  public static Outcome ofLabel(String label) {
    for (Outcome outcome : values()) {
      if (outcome.label.equals(label)) {
        return outcome;
      }
    }
    throw new IllegalArgumentException("unknown outcome: " + label);
  }
}
