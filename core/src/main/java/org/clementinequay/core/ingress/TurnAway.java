package org.clementinequay.core.ingress;

import java.util.Locale;

/** Limit by which a caller is refused or its connection closed. */
public enum TurnAway {
  CONNECTIONS("too many connections are open"),
  CONNECTIONS_OF_ADDRESS("too many connections of the address are open"),
  HEADER_TIMEOUT("the head of the request took too long"),
  BODY_TIMEOUT("no time is left"),
  /** The caller sends or reads so slowly that its bytes are needed for others. */
  SLOW("the caller is too slow while others wait"),
  MEMORY("too much is held for callers");

  private final String reason;

  TurnAway(String reason) {
    this.reason = reason;
  }

  /** Returns the reason for a caller whose request has not run. */
  public String reason() {
    return reason;
  }

  /** Returns the name of the limit in logs and metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
