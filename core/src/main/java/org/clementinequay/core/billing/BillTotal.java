package org.clementinequay.core.billing;

/**
 * Sums over records or attempts.
 *
 * @param count number of requests, or of attempts where the sum is over attempts
 * @param promptTokens tokens of prompts
 * @param completionTokens generated tokens
 * @param costMicros price in millionths of the billing unit
 */
public record BillTotal(long count, long promptTokens, long completionTokens, long costMicros) {
  static BillTotal of(BilledAttempt attempt) {
    return new BillTotal(
        1, attempt.promptTokens(), attempt.completionTokens(), attempt.costMicros());
  }

  static BillTotal of(BillRecord record) {
    BillTotal sum = new BillTotal(0, 0, 0, 0);
    for (BilledAttempt attempt : record.attempts()) {
      sum = sum.plus(of(attempt));
    }
    return new BillTotal(1, sum.promptTokens, sum.completionTokens, sum.costMicros);
  }

  /** Returns the sum of two totals. */
  public BillTotal plus(BillTotal other) {
    return new BillTotal(
        count + other.count,
        promptTokens + other.promptTokens,
        completionTokens + other.completionTokens,
        costMicros + other.costMicros);
  }
}
