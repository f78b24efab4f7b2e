package org.clementinequay.server.operator;

import java.time.Instant;
import java.util.List;

/**
 * Bill of an account over a period. Costs are in millionths of the billing unit.
 *
 * @param account name of the account
 * @param from start of the period, included
 * @param to end of the period, excluded
 * @param requests number of requests, each counted once
 * @param costMicros sum of the lines
 * @param lines one line for each version and route that was used
 */
public record BillReport(
    String account, Instant from, Instant to, long requests, long costMicros, List<Line> lines) {
  /** Copies the list. */
  public BillReport {
    lines = List.copyOf(lines);
  }

  /**
   * Work on one version or route.
   *
   * @param item {@code model@version} or the name of a route
   * @param attempts attempts, including failed and cancelled ones
   * @param promptTokens tokens read
   * @param completionTokens tokens generated
   * @param costMicros price of the attempts
   */
  public record Line(
      String item, long attempts, long promptTokens, long completionTokens, long costMicros) {}
}
