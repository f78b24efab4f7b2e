package org.clementinequay.server.billing;

/** Which hosts hold a bill record when the final event of its request is released. */
public enum CopyResult {
  /** This host and a peer hold it. */
  COPIED,
  /** Only this host holds it: no peer was available, or none acknowledged in time. */
  SINGLE_COPY
}
