package org.clementinequay.core.billing;

/**
 * The work of one attempt.
 *
 * @param number number of the attempt within the request, from 1
 * @param target {@code model@version}, or the name of a route
 * @param upstream name of the upstream
 * @param state how the attempt ended
 * @param promptTokens tokens of the prompt that the upstream processed
 * @param completionTokens tokens that the upstream generated, as far as they arrived
 * @param costMicros price in millionths of the billing unit
 */
public record BilledAttempt(
    int number,
    String target,
    String upstream,
    AttemptState state,
    long promptTokens,
    long completionTokens,
    long costMicros) {
  private static final String SEPARATOR = ",";
  private static final int PARTS = 7;

  String encode() {
    return String.join(
        SEPARATOR,
        Integer.toString(number),
        BillRecord.escape(target),
        BillRecord.escape(upstream),
        state.name(),
        Long.toString(promptTokens),
        Long.toString(completionTokens),
        Long.toString(costMicros));
  }

  static BilledAttempt parse(String text) {
    String[] parts = text.split(SEPARATOR, -1);
    if (parts.length != PARTS) {
      throw new IllegalArgumentException("not a billed attempt: " + text);
    }
    return new BilledAttempt(
        Integer.parseInt(parts[0]),
        BillRecord.unescape(parts[1]),
        BillRecord.unescape(parts[2]),
        AttemptState.valueOf(parts[3]),
        Long.parseLong(parts[4]),
        Long.parseLong(parts[5]),
        Long.parseLong(parts[6]));
  }
}
