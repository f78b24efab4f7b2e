package org.clementinequay.standins;

/**
 * An attempt at a stand-in engine, as parsed from its HTTP request.
 *
 * @param attemptId value of the {@code X-Attempt-Id} header
 * @param model model version, {@code model@version}
 * @param priority 0 is the highest
 * @param promptTokens number of tokens of the prompt
 * @param totalTokens number of tokens of the complete answer
 * @param fromToken first token to send
 * @param fault fault to inject
 * @param faultAfterTokens number of tokens sent before the fault
 */
record EngineRequest(
    String attemptId,
    String model,
    int priority,
    int promptTokens,
    int totalTokens,
    int fromToken,
    EngineFault fault,
    int faultAfterTokens) {
  EngineRequest resumeFrom(int firstToken) {
    return new EngineRequest(
        attemptId, model, priority, promptTokens, totalTokens, firstToken, EngineFault.NONE, 0);
  }
}
