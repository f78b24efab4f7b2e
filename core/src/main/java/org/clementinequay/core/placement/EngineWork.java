package org.clementinequay.core.placement;

/**
 * Estimated work of one run on a model engine. All results are in engine milliseconds: a token
 * count is converted with the rates of the reference model and scaled by the weight of the model.
 *
 * @param prefixTokens tokens of the prompt prefix, which the engine may have cached from earlier
 *     requests
 * @param uniqueTokens prompt tokens after the prefix, which only this request has
 * @param outputTokens expected number of generated tokens
 * @param weight engine time of the model relative to the reference model
 */
public record EngineWork(int prefixTokens, int uniqueTokens, int outputTokens, double weight) {
  /** Prompt tokens read per millisecond, according to the deployment sheets. */
  static final double PROMPT_TOKENS_PER_MILLISECOND = 56.9;

  /** Time per generated token, in milliseconds: its share of a decoding step of a full batch. */
  static final double MILLIS_PER_OUTPUT_TOKEN = 0.3;

  /**
   * Returns the work of reading the prompt and generating the output.
   *
   * @param prefixCached whether the engine has cached the prefix and need not read it again
   */
  public double millis(boolean prefixCached) {
    double tokens = uniqueTokens + (prefixCached ? 0 : prefixTokens);
    return weight
        * (tokens / PROMPT_TOKENS_PER_MILLISECOND + outputTokens * MILLIS_PER_OUTPUT_TOKEN);
  }

  /**
   * Returns the work before the first generated token.
   *
   * @param prefixCached whether the engine has cached the prefix and need not read it again
   */
  public double prefillMillis(boolean prefixCached) {
    double tokens = uniqueTokens + (prefixCached ? 0 : prefixTokens);
    return weight * tokens / PROMPT_TOKENS_PER_MILLISECOND;
  }
}
