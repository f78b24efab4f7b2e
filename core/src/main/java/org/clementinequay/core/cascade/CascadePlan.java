package org.clementinequay.core.cascade;

import java.util.List;
import org.clementinequay.core.ModelVersion;

/**
 * Versions to try in order. The draft of every step but the last is rated, and released only if it
 * is accepted; the answer of the last step is released without waiting for a rating.
 *
 * @param steps versions in the order of trial, at least one
 * @param expectedCostMicros expected cost over all steps, in millionths of the billing unit
 * @param expectedMillis expected time until the answer is released, in milliseconds
 * @param quality expected share of good answers
 * @param qualityLower lower confidence bound of that share
 * @param exploring whether the plan was chosen only to learn the rates of its paths
 */
public record CascadePlan(
    List<ModelVersion> steps,
    double expectedCostMicros,
    double expectedMillis,
    double quality,
    double qualityLower,
    boolean exploring) {
  /** Takes an unmodifiable copy of the list. */
  public CascadePlan {
    steps = List.copyOf(steps);
  }

  /** Returns the versions up to and including a step, counted from 0, as a key of the rates. */
  public RatePath pathOf(int step) {
    return new RatePath(steps.subList(0, step + 1));
  }

  CascadePlan asExploring() {
    return new CascadePlan(steps, expectedCostMicros, expectedMillis, quality, qualityLower, true);
  }
}
