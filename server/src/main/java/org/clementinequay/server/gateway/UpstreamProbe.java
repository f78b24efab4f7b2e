package org.clementinequay.server.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

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

  /** Probes several addresses; implementations may do so at the same time. */
  default Map<String, Result> probeAll(Collection<String> addresses) {
    Map<String, Result> results = new HashMap<>();
    addresses.forEach(address -> results.computeIfAbsent(address, this::probe));
    return results;
  }
}
