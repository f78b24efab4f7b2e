package org.clementinequay.server.billing;

/** How many hosts hold a bill record when the final event of its request is released. */
public enum CopyResult {
  /** This host and another one. */
  COPIED,
  /** This host only: no peer was linked, or none acknowledged in time. */
  SINGLE_COPY
}
