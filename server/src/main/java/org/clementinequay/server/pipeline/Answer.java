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
 * @param body body of a route's answer; null for a chat completion
 * @param contentType content type of a route's answer
 */
record Answer(
    Optional<ModelVersion> version,
    String text,
    String finishReason,
    long promptTokens,
    long completionTokens,
    byte[] body,
    String contentType) {}
