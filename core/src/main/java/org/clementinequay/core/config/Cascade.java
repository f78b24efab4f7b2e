package org.clementinequay.core.config;

import java.util.List;

/**
 * Models to try in order of cost.
 *
 * @param name name that callers use in place of a model
 * @param models model names, cheapest first
 * @param acceptScore least rating of a draft, from 0 to 1, for it to be released to the caller
 */
public record Cascade(String name, List<String> models, double acceptScore) {
  /** Copies the list. */
  public Cascade {
    models = List.copyOf(models);
  }
}
