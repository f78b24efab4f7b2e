package org.clementinequay.core.placement;

/**
 * Upstream chosen for an attempt, with the estimates behind the choice.
 *
 * @param upstream name of the upstream
 * @param estimatedMillis estimated time to the end of the answer in milliseconds; NaN if the policy
 *     makes no estimate
 * @param estimatedWaitMillis estimated time before the upstream starts on the request, in
 *     milliseconds; NaN if the policy makes no estimate
 */
public record Placement(String upstream, double estimatedMillis, double estimatedWaitMillis) {
  /** Returns a placement whose estimates are NaN. */
  public static Placement withoutEstimate(String upstream) {
    return new Placement(upstream, Double.NaN, Double.NaN);
  }
}
