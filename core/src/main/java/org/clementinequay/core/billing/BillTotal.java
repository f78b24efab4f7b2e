package org.clementinequay.core.billing;

/**
 * Token and price totals of several requests or attempts.
 *
 * @param count number of requests, or of attempts if the total is of attempts
 * @param promptTokens number of prompt tokens
 * @param completionTokens number of generated tokens
 * @param costMicros price in millionths of the billing unit
 */
public record BillTotal(long count, long promptTokens, long completionTokens, long costMicros) {
  static BillTotal of(BilledAttempt attempt) {
    return new BillTotal(
        1, attempt.promptTokens(), attempt.completionTokens(), attempt.costMicros());
  }

  static BillTotal of(BillRecord record) {
    BillTotal total = new BillTotal(0, 0, 0, 0);
    for (BilledAttempt attempt : record.attempts()) {
      total = total.plus(of(attempt));
    }
    return new BillTotal(1, total.promptTokens, total.completionTokens, total.costMicros);
  }

  /** Returns the sum of both totals. */
  public BillTotal plus(BillTotal other) {
    return new BillTotal(
        count + other.count,
        promptTokens + other.promptTokens,
        completionTokens + other.completionTokens,
        costMicros + other.costMicros);
  }
}
