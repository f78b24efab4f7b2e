package org.clementinequay.core.placement;

/**
 * Work of one run on a model engine, in the engine milliseconds of the reference model.
 *
 * @param sharedTokens prompt tokens that the engine may hold from earlier requests
 * @param ownTokens prompt tokens that only this request has
 * @param outputTokens tokens expected to be generated
 * @param weight engine time of the model relative to the reference model
 */
public record EngineWork(int sharedTokens, int ownTokens, int outputTokens, double weight) {
  /** Prompt tokens read in a millisecond; from the deployment sheets. */
  static final double PROMPT_TOKENS_PER_MILLI = 56.9;

  /** Share of a full batch's step that one generated token takes, in milliseconds. */
  static final double OUTPUT_TOKEN_MILLIS = 0.3;

  /** Returns the work if the engine holds the shared part of the prompt, or has to read it. */
  public double millis(boolean sharedHeld) {
    double tokens = ownTokens + (sharedHeld ? 0 : sharedTokens);
    return weight * (tokens / PROMPT_TOKENS_PER_MILLI + outputTokens * OUTPUT_TOKEN_MILLIS);
  }

  /** Returns the part of the work that comes before the first token. */
  public double prefillMillis(boolean sharedHeld) {
    double tokens = ownTokens + (sharedHeld ? 0 : sharedTokens);
    return weight * tokens / PROMPT_TOKENS_PER_MILLI;
  }
}
