package org.clementinequay.core.forward;

import java.util.List;

/**
 * What all engines of a service have in common.
 *
 * @param slots requests that run at the same time
 * @param cacheCapacityTokens tokens that fit an engine's memory
 * @param tokensPerEvent output tokens in one event of a stream
 * @param models the models, smallest first
 */
public record EngineProfile(
    int slots, long cacheCapacityTokens, int tokensPerEvent, List<Model> models) {
  /** Copies the list. */
  public EngineProfile {
    models = List.copyOf(models);
  }

  /**
   * A model of an engine.
   *
   * @param name name of the model
   * @param cost cost of 1,000 generated tokens; tokens read count a quarter
   */
  public record Model(String name, double cost) {}

  /** Returns the cost of a model, or that of the dearest if it is not listed. */
  public double cost(String model) {
    double dearest = 1;
    for (Model known : models) {
      if (known.name().equals(model)) {
        return known.cost();
      }
      dearest = known.cost();
    }
    return dearest;
  }
}
