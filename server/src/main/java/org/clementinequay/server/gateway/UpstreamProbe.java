package org.clementinequay.server.gateway;

/** Finds out whether the process of an upstream is alive. */
interface UpstreamProbe {
  /** What a connection to an upstream showed. */
  enum Result {
    /** A process accepts connections. */
    CONNECTED,
    /** No process listens at the address. */
    REFUSED,
    /** Nothing answers; the process may be alive behind a broken link. */
    SILENT
  }

  /** Opens a connection to an address ({@code host:port}) and closes it at once. */
  Result probe(String address);
}
