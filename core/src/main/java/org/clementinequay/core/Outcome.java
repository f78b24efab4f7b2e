package org.clementinequay.core;

/** What is known about the execution of a request when the answer leaves the entry host. */
public enum Outcome {
  /** No byte of the request was offered to an upstream. */
  NOT_RUN("not-run"),
  /** An upstream ran the request and its whole answer was received. */
  RAN("ran"),
  /** The request was offered to an upstream, but it is not known whether it ran. */
  UNKNOWN("unknown");

  private final String label;

  Outcome(String label) {
    this.label = label;
  }

  /** Returns the value used in headers, events and error bodies. */
  public String label() {
    return label;
  }

  /** Returns the outcome with the given label, or throws if there is none. */
  public static Outcome ofLabel(String label) {
    for (Outcome outcome : values()) {
      if (outcome.label.equals(label)) {
        return outcome;
      }
    }
    throw new IllegalArgumentException("unknown outcome: " + label);
  }
}
