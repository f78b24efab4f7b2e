package org.clementinequay.core.config;

import java.util.List;

/**
 * A sequence of models that a request tries in order of cost until an answer is good enough.
 *
 * @param name name that callers use in place of a model name
 * @param models model names, cheapest first
 * @param acceptScore minimum rating, from 0 to 1, at which a draft is released to the caller
 */
public record Cascade(String name, List<String> models, double acceptScore) {
  /** Copies the list of models. */
  public Cascade {
    models = List.copyOf(models);
  }
}
