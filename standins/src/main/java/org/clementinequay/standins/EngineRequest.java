package org.clementinequay.standins;

/**
 * A request to a stand-in engine.
 *
 * @param attemptId id of the attempt
 * @param model {@code model@version}
 * @param priority 0 is the highest
 * @param promptTokens tokens of the prompt
 * @param totalTokens tokens that the answer has
 * @param from first token to send
 * @param fault fault to inject
 * @param faultAfter token after which the fault starts
 */
record EngineRequest(
    String attemptId,
    String model,
    int priority,
    int promptTokens,
    int totalTokens,
    int from,
    EngineFault fault,
    int faultAfter) {
  EngineRequest resumedFrom(int token) {
    return new EngineRequest(
        attemptId, model, priority, promptTokens, totalTokens, token, EngineFault.NONE, 0);
  }
}
