package org.clementinequay.core.placement;

/**
 * Estimated work of one run on a model engine. All results are in engine milliseconds: a token
 * count is converted with the rates of the reference model and scaled by the weight of the model.
 *
 * @param promptTokens tokens of the whole prompt
 * @param outputTokens expected number of generated tokens
 * @param weight engine time of the model relative to the reference model
 * @param engineMemoryTokens memory of an engine, in tokens
 */
public record EngineWork(
    int promptTokens, int outputTokens, double weight, long engineMemoryTokens) {
  /**
   * Fraction of an engine's memory that is given out. Output can be longer than expected, and a run
   * that is preempted for it is read again.
   */
  private static final double USABLE_MEMORY = 0.9;

  /** Prompt tokens read per millisecond, according to the deployment sheets. */
  static final double PROMPT_TOKENS_PER_MILLISECOND = 56.9;

  /** Time per generated token, in milliseconds: its share of a decoding step of a full batch. */
  static final double MILLIS_PER_OUTPUT_TOKEN = 0.3;

  /**
   * Returns the work of reading the prompt and generating the output.
   *
   * @param cachedTokens tokens of the prompt that the engine has cached and need not read again
   */
  public double millis(int cachedTokens) {
    return prefillMillis(cachedTokens) + weight * outputTokens * MILLIS_PER_OUTPUT_TOKEN;
  }

  /**
   * Returns the work before the first generated token.
   *
   * @param cachedTokens tokens of the prompt that the engine has cached and need not read again
   */
  public double prefillMillis(int cachedTokens) {
    return weight * Math.max(0, promptTokens - cachedTokens) / PROMPT_TOKENS_PER_MILLISECOND;
  }

  /** Returns whether no engine can run this, because the prompt alone exceeds the memory. */
  public boolean exceedsMemory() {
    return promptTokens >= engineMemoryTokens;
  }

  /** Returns whether an engine has memory for the run beside others. */
  boolean fits(double outstandingTokens) {
    return outstandingTokens + memoryTokens() <= USABLE_MEMORY * engineMemoryTokens;
  }

  /** Returns the tokens that the run occupies in the memory of the engine. */
  public long memoryTokens() {
    return (long) promptTokens + outputTokens;
  }
}
