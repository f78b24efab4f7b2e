package org.clementinequay.server.gateway;

/** Told of each finished request, for counters and histograms. */
public interface RequestObserver {
  /**
   * A request has ended.
   *
   * @param account name of the client account, or an empty text
   * @param status HTTP status, or 0 if the connection was closed without a whole answer
   * @param reason why it failed, or {@code none}; one of few fixed texts
   * @param firstNanos time to the first event, or 0 if there was none
   * @param totalNanos time to the end
   */
  void requestFinished(
      String account,
      String route,
      int status,
      String reason,
      long firstEventNanos,
      long totalNanos);
}
