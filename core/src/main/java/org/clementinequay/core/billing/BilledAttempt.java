package org.clementinequay.core.billing;

/**
 * The billed work of one attempt to run a request on an upstream.
 *
 * @param number number of the attempt within its request, starting at 1
 * @param target {@code model@version}, or the name of a route
 * @param upstream name of the upstream
 * @param state how the attempt ended
 * @param promptTokens prompt tokens that the upstream processed
 * @param completionTokens generated tokens that arrived from the upstream
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
  private static final int FIELD_COUNT = 7;

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
    String[] fields = text.split(SEPARATOR, -1);
    if (fields.length != FIELD_COUNT) {
      throw new IllegalArgumentException("invalid billed attempt: " + text);
    }
    return new BilledAttempt(
        Integer.parseInt(fields[0]),
        BillRecord.unescape(fields[1]),
        BillRecord.unescape(fields[2]),
        AttemptState.valueOf(fields[3]),
        Long.parseLong(fields[4]),
        Long.parseLong(fields[5]),
        Long.parseLong(fields[6]));
  }
}
