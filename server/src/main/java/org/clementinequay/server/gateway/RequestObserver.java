package org.clementinequay.server.gateway;

/** Receives the outcome of each finished request, for counters and histograms. */
public interface RequestObserver {
  /**
   * Called once for each request, when it has ended.
   *
   * @param account name of the client account; empty if none was identified
   * @param status HTTP status; 0 if the connection was closed without a complete response
   * @param reason why the request failed, or {@code none}; one of a few fixed texts, so that it can
   *     be a metric label
   * @param firstEventNanos time from receipt to the first event; 0 if there was none
   * @param totalNanos time from receipt to the end
   */
  void requestFinished(
      String account,
      String route,
      int status,
      String reason,
      long firstEventNanos,
      long totalNanos);
}
