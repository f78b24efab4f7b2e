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

/** Builds the answers that callers get: headers, final events, bodies, and errors. */
public final class ResponseWriter {
  /** Life of a session token, renewed by each answer. */
  static final Duration SESSION_LIFE = Duration.ofHours(12);

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int STATUS_OK = 200;

  private final SessionTokens tokens;
  private final RuntimeClock clock;

  /** Creates a builder of answers. */
  public ResponseWriter(SessionTokens tokens, RuntimeClock clock) {
    this.tokens = tokens;
    this.clock = clock;
  }

  /** Starts a stream; outcome and final count of attempts follow in its last chunk. */
  void beginStream(Exchange exchange, ModelVersion version, int attempts) {
    Map<String, String> headers = headers(exchange, attempts);
    headers.put("Content-Type", "text/event-stream");
    headers.put("Cache-Control", "no-store");
    headers.put("X-Model-Version", version.toString());
    headers.put("X-Session", session(exchange, version));
    exchange.reply().begin(STATUS_OK, headers);
  }

  /** Ends a request that has its answer. */
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
    StringBuilder out = new StringBuilder();
    if (!exchange.replyStarted) {
      beginStream(exchange, version, exchange.attempts().size());
      ObjectNode chunk = chunk(exchange, version);
      ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
      choice.putObject("delta").put("role", "assistant").put("content", answer.text());
      choice.put("finish_reason", answer.finishReason());
      out.append("data: ").append(chunk).append("\n\n");
    }
    ObjectNode last = chunk(exchange, version);
    last.putArray("choices");
    last.set("usage", usage(answer));
    last.set("router", router(exchange, version));
    out.append("data: ").append(last).append("\n\ndata: [DONE]\n\n");
    exchange.reply().end(utf8(out.toString()));
  }

  private void finishBody(Exchange exchange, Answer answer) {
    ModelVersion version = answer.version().orElseThrow();
    Map<String, String> headers = headers(exchange, exchange.attempts().size());
    headers.put("Content-Type", "application/json");
    headers.put("X-Model-Version", version.toString());
    headers.put("X-Session", session(exchange, version));
    headers.put("X-Outcome", Outcome.RAN.label());
    ObjectNode body = chunk(exchange, version).put("object", "chat.completion");
    ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
    choice.putObject("message").put("role", "assistant").put("content", answer.text());
    choice.put("finish_reason", answer.finishReason());
    body.set("usage", usage(answer));
    body.set("router", router(exchange, version));
    exchange.reply().begin(STATUS_OK, headers);
    exchange.reply().end(utf8(body.toString()));
  }

  /** Ends a request that failed. */
  void fail(Exchange exchange) {
    exchange
        .failure()
        .ifPresent(
            failure -> {
              ObjectNode error = ErrorBody.of(failure, exchange.id());
              if (exchange.callerGone) {
                exchange.reply().abort(failure);
              } else if (exchange.replyStarted) {
                // The end marker is left out, so that the stream cannot be taken for a whole
                // answer.
                exchange.reply().end(utf8("event: error\ndata: " + error + "\n\n"));
              } else {
                Map<String, String> headers = headers(exchange, exchange.attempts().size());
                headers.put("Content-Type", "application/json");
                headers.put("X-Outcome", failure.outcome().label());
                failure
                    .retryAfter()
                    .ifPresent(
                        after ->
                            headers.put(
                                "Retry-After", Long.toString(Math.max(1, after.toSeconds()))));
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

  private ObjectNode router(Exchange exchange, ModelVersion version) {
    return JSON.createObjectNode()
        .put("request_id", exchange.id().toString())
        .put("version", version.toString())
        .put("attempts", exchange.attempts().size())
        .put("outcome", Outcome.RAN.label())
        .put("cost_micros", exchange.costMicros())
        .put("session", session(exchange, version));
  }

  private String session(Exchange exchange, ModelVersion version) {
    return tokens.sign(
        new SessionBinding(exchange.account().name(), version, clock.now().plus(SESSION_LIFE)));
  }

  private static ByteBuffer utf8(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
  }
}
