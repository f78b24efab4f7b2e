package org.clementinequay.core.config;

/**
 * Relative weights of the objectives that the routing policies trade off against each other.
 *
 * @param cost weight of the cost of reaching the quality target
 * @param latency weight of latency
 * @param exposure weight of the exposure of requests to bad versions
 */
public record ObjectiveWeights(double cost, double latency, double exposure) {
  /** Equal weights for all objectives. */
  public static final ObjectiveWeights EQUAL = new ObjectiveWeights(1, 1, 1);
}
