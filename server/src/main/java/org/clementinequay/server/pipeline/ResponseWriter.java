package org.clementinequay.server.pipeline;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.Outcome;
import org.clementinequay.core.session.SessionBinding;
import org.clementinequay.core.session.SessionTokens;
import org.clementinequay.core.time.RuntimeClock;

/** Writes the responses to callers: headers, the final events of streams, bodies, and errors. */
public final class ResponseWriter {
  /** Lifetime of a session token; each answer carries a new one. */
  static final Duration SESSION_LIFETIME = Duration.ofHours(12);

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int STATUS_OK = 200;

  private final SessionTokens tokens;
  private final RuntimeClock clock;

  /** Creates a writer; session tokens expire by the wall clock of {@code clock}. */
  public ResponseWriter(SessionTokens tokens, RuntimeClock clock) {
    this.tokens = tokens;
    this.clock = clock;
  }

  /**
   * Sends the headers of a stream; the last chunk has the outcome and the final number of attempts.
   */
  void beginStream(Exchange exchange, ModelVersion version, int attempts) {
    Map<String, String> headers = headers(exchange, attempts);
    headers.put("Content-Type", "text/event-stream");
    headers.put("Cache-Control", "no-store");
    headers.put("X-Model-Version", version.toString());
    headers.put("X-Session", newSessionToken(exchange, version));
    exchange.reply().begin(STATUS_OK, headers);
  }

  /**
   * Sends the answer of a successful request, or the part not yet streamed, and ends the response.
   */
  void finish(Exchange exchange) {
    Answer answer = exchange.answer;
    if (answer.body() != null) {
      finishRoute(exchange, answer);
    } else if (exchange.request().stream()) {
      finishStream(exchange, answer);
    } else {
      finishBody(exchange, answer);
    }
  }

  private void finishRoute(Exchange exchange, Answer answer) {
    Map<String, String> headers = headers(exchange, exchange.attempts().size());
    headers.put("X-Outcome", Outcome.RAN.label());
    if (answer.contentType() != null) {
      headers.put("Content-Type", answer.contentType());
    }
    exchange.reply().begin(answer.status(), headers);
    exchange.reply().end(ByteBuffer.wrap(answer.body()));
  }

  private void finishStream(Exchange exchange, Answer answer) {
    ModelVersion version = answer.version().orElseThrow();
    StringBuilder events = new StringBuilder();
    if (!exchange.replyStarted) {
      beginStream(exchange, version, exchange.attempts().size());
      ObjectNode chunk = chunk(exchange, version);
      ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
      choice.putObject("delta").put("role", "assistant").put("content", answer.text());
      choice.put("finish_reason", answer.finishReason());
      events.append("data: ").append(chunk).append("\n\n");
    }
    ObjectNode lastChunk = chunk(exchange, version);
    lastChunk.putArray("choices");
    lastChunk.set("usage", usage(answer));
    lastChunk.set("router", routerMetadata(exchange, version));
    events.append("data: ").append(lastChunk).append("\n\ndata: [DONE]\n\n");
    exchange.reply().end(utf8(events.toString()));
  }

  private void finishBody(Exchange exchange, Answer answer) {
    ModelVersion version = answer.version().orElseThrow();
    Map<String, String> headers = headers(exchange, exchange.attempts().size());
    headers.put("Content-Type", "application/json");
    headers.put("X-Model-Version", version.toString());
    headers.put("X-Session", newSessionToken(exchange, version));
    headers.put("X-Outcome", Outcome.RAN.label());
    ObjectNode body = chunk(exchange, version).put("object", "chat.completion");
    ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
    choice.putObject("message").put("role", "assistant").put("content", answer.text());
    choice.put("finish_reason", answer.finishReason());
    body.set("usage", usage(answer));
    body.set("router", routerMetadata(exchange, version));
    exchange.reply().begin(STATUS_OK, headers);
    exchange.reply().end(utf8(body.toString()));
  }

  /** Sends the error of a failed request and ends the response; does nothing without a failure. */
  void fail(Exchange exchange) {
    exchange
        .failure()
        .ifPresent(
            failure -> {
              ObjectNode error = ErrorBody.of(failure, exchange.id());
              if (exchange.callerDisconnected) {
                exchange.reply().abort(failure);
              } else if (exchange.replyStarted) {
                // Without the end marker the caller cannot take the stream for a complete answer.
                exchange.reply().end(utf8("event: error\ndata: " + error + "\n\n"));
              } else {
                Map<String, String> headers = headers(exchange, exchange.attempts().size());
                headers.put("Content-Type", "application/json");
                headers.put("X-Outcome", failure.outcome().label());
                failure
                    .retryAfter()
                    .ifPresent(
                        retryAfter ->
                            headers.put(
                                "Retry-After", Long.toString(Math.max(1, retryAfter.toSeconds()))));
                exchange.reply().begin(failure.reason().httpStatus(), headers);
                exchange.reply().end(utf8(error.toString()));
              }
            });
  }

  private static Map<String, String> headers(Exchange exchange, int attempts) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("X-Request-Id", exchange.id().toString());
    headers.put("X-Attempts", Integer.toString(attempts));
    return headers;
  }

  private ObjectNode chunk(Exchange exchange, ModelVersion version) {
    return JSON.createObjectNode()
        .put("id", "chatcmpl-" + exchange.id())
        .put("object", "chat.completion.chunk")
        .put("model", version.toString());
  }

  private static ObjectNode usage(Answer answer) {
    return JSON.createObjectNode()
        .put("prompt_tokens", answer.promptTokens())
        .put("completion_tokens", answer.completionTokens())
        .put("total_tokens", answer.promptTokens() + answer.completionTokens());
  }

  private ObjectNode routerMetadata(Exchange exchange, ModelVersion version) {
    return JSON.createObjectNode()
        .put("request_id", exchange.id().toString())
        .put("version", version.toString())
        .put("attempts", exchange.attempts().size())
        .put("outcome", Outcome.RAN.label())
        .put("cost_micros", exchange.costMicros())
        .put("session", newSessionToken(exchange, version));
  }

  private String newSessionToken(Exchange exchange, ModelVersion version) {
    return tokens.sign(
        new SessionBinding(exchange.account().name(), version, clock.now().plus(SESSION_LIFETIME)));
  }

  private static ByteBuffer utf8(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
  }
}
