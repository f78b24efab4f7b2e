package org.clementinequay.server.gateway;

/** Finds out whether the process of an upstream has ended. */
interface UpstreamProbe {
  /**
   * Returns whether a connection to the address is refused, so that no process listens there. An
   * address that does not answer may belong to a process that is alive behind a broken link.
   */
  boolean isRefused(String address);
}
