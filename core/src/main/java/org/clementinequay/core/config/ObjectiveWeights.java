package org.clementinequay.core.config;

/**
 * Relative weights of the measures that the policies trade against each other.
 *
 * @param cost weight of cost at the quality target
 * @param latency weight of latency
 * @param exposure weight of exposure to bad versions
 */
public record ObjectiveWeights(double cost, double latency, double exposure) {
  /** All measures weigh the same. */
  public static final ObjectiveWeights EQUAL = new ObjectiveWeights(1, 1, 1);
}
