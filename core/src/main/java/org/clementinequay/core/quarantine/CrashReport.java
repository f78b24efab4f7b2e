package org.clementinequay.core.quarantine;

import java.util.List;

/**
 * An upstream whose process ended before it had begun the answer to a request.
 *
 * @param service service of the upstream
 * @param upstream name of the upstream's process; one that starts again has a new one
 * @param startNanos time at which the request was sent, by the clock of this host
 * @param crashNanos time at which its connection ended, by the clock of this host
 * @param partIds ids of the parts of the prompt that other requests may share, in order
 */
public record CrashReport(
    String service, String upstream, long startNanos, long crashNanos, List<String> partIds) {
  /** Copies the list of parts. */
  public CrashReport {
    partIds = List.copyOf(partIds);
  }
}
