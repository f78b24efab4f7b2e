package org.clementinequay.server.pipeline;

import java.util.Optional;
import org.clementinequay.core.ModelVersion;

/**
 * The complete answer to a request.
 *
 * @param version version that generated it; empty for a route
 * @param text text of a chat completion; null if its events were streamed to the caller, and for a
 *     route
 * @param finishReason finish reason of a chat completion; empty for a route
 * @param promptTokens number of prompt tokens; 0 for a route
 * @param completionTokens number of generated tokens; 0 for a route
 * @param status HTTP status of a route's answer; 200 for a chat completion
 * @param body body of a route's answer; null for a chat completion
 * @param contentType content type of a route's answer, or null
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared; copying each body would be expensive.
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

  /** Returns the answer of a plain service to the call of a route. */
  static Answer ofRoute(int status, String contentType, byte[] body) {
    return new Answer(Optional.empty(), null, "", 0, 0, status, body, contentType);
  }

  /**
   * Returns the answer of an engine; the text is null if its events were streamed to the caller.
   */
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
