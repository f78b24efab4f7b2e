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
 * @param costMicros sum of the costs of the lines
 * @param lines one line for each version and route that was used
 */
public record BillReport(
    String account, Instant from, Instant to, long requests, long costMicros, List<Line> lines) {
  /** Copies the lines, so that later changes to the given list have no effect. */
  public BillReport {
    lines = List.copyOf(lines);
  }

  /**
   * Usage of one model version or one route.
   *
   * @param item {@code model@version} or the name of a route
   * @param attempts number of attempts, including failed and cancelled ones
   * @param promptTokens prompt tokens processed
   * @param completionTokens completion tokens generated
   * @param costMicros cost of all these attempts
   */
  public record Line(
      String item, long attempts, long promptTokens, long completionTokens, long costMicros) {}
}
