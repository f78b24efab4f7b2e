package org.clementinequay.server.pipeline;

import java.util.Optional;
import org.clementinequay.core.ModelVersion;

/**
 * A whole answer.
 *
 * @param version version that produced it; empty for a route
 * @param text text of a chat completion that was not streamed through; null if it was
 * @param finishReason finish reason that the engine stated
 * @param promptTokens tokens of the prompt
 * @param completionTokens generated tokens
 * @param status HTTP status of a route's answer
 * @param body body of a route's answer; null for a chat completion
 * @param contentType content type of a route's answer, or null
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared; a copy of each answer would cost.
record Answer(
    Optional<ModelVersion> version,
    String text,
    String finishReason,
    long promptTokens,
    long completionTokens,
    int status,
    byte[] body,
    String contentType) {
  private static final int STATUS_OK = 200;

  /** Returns the answer of a plain service. */
  static Answer ofRoute(int status, String contentType, byte[] body) {
    return new Answer(Optional.empty(), null, "", 0, 0, status, body, contentType);
  }

  /** Returns the answer of an engine; the text is null if it was streamed through. */
  static Answer ofChat(ModelVersion version, String text, ChatAttempt attempt) {
    return new Answer(
        Optional.of(version),
        text,
        attempt.finishReason(),
        attempt.promptTokens(),
        attempt.completionTokens(),
        STATUS_OK,
        null,
        null);
  }
}
