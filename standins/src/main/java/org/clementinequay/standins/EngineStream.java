package org.clementinequay.standins;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Response stream of one attempt at a stand-in engine. Tokens become due by elapsed time, and all
 * due tokens are written together once the previous write has completed. The text depends only on
 * the token number, so that a resumed stream repeats the original one.
 */
final class EngineStream {
  private static final String END_MARKER = "data: [DONE]\n\n";
  private static final int EXPECTED_EVENT_CHARS = 200;

  final String attemptId;
  final int priority;
  private final String model;
  private final int promptTokens;
  private final int totalTokens;
  private final Response response;
  private final Callback callback;
  private final EngineFault fault;
  private final int faultAfterTokens;
  private final Runnable onEnd;

  private long startNanos;
  private int nextToken;
  private boolean writing;
  private boolean ended;

  EngineStream(EngineRequest request, Response response, Callback callback, Runnable onEnd) {
    this.attemptId = request.attemptId();
    this.priority = request.priority();
    this.model = request.model();
    this.promptTokens = request.promptTokens();
    this.totalTokens = request.totalTokens();
    this.nextToken = request.fromToken();
    this.fault = request.fault();
    this.faultAfterTokens = request.faultAfterTokens();
    this.response = response;
    this.callback = callback;
    this.onEnd = onEnd;
  }

  synchronized void start(long nowNanos) {
    startNanos = nowNanos;
  }

  /** Writes the tokens that are due, unless a write is in progress or the stream has ended. */
  synchronized void writeDueTokens(long nowNanos, long firstTokenNanos, long tokenNanos) {
    if (writing || ended) {
      return;
    }
    long elapsedNanos = nowNanos - startNanos - firstTokenNanos;
    if (elapsedNanos < 0) {
      return;
    }
    int dueTokens = (int) Math.min(totalTokens, 1 + elapsedNanos / Math.max(1, tokenNanos));
    boolean faultReached = fault != EngineFault.NONE && dueTokens > faultAfterTokens;
    if (faultReached && (fault == EngineFault.STALL || fault == EngineFault.CUT)) {
      dueTokens = faultAfterTokens;
    }
    if (dueTokens > nextToken) {
      writeUpTo(dueTokens, faultReached);
    } else if (faultReached && fault == EngineFault.CUT) {
      finish(null);
    }
  }

  /** Fails the response without further output; does nothing after the stream has ended. */
  synchronized void cancel() {
    if (!ended) {
      finish(new IllegalStateException("attempt was cancelled"));
    }
  }

  private void writeUpTo(int dueTokens, boolean faultReached) {
    StringBuilder events = new StringBuilder((dueTokens - nextToken) * EXPECTED_EVENT_CHARS);
    for (int token = nextToken; token < dueTokens; token++) {
      appendTokenEvent(events, attemptId, token);
      if (faultReached && token == faultAfterTokens && fault == EngineFault.CROSS) {
        appendTokenEvent(events, "ffffffffffffffffffffffffffffffff-1.1", token);
      }
      if (faultReached && token == faultAfterTokens && fault == EngineFault.DUPLICATE) {
        appendTokenEvent(events, attemptId, token);
      }
    }
    nextToken = dueTokens;
    boolean last = dueTokens == totalTokens;
    if (last) {
      appendFinalEvents(events);
    }
    writing = true;
    response.write(
        last,
        ByteBuffer.wrap(events.toString().getBytes(StandardCharsets.UTF_8)),
        Callback.from(() -> onWritten(last), this::onWriteFailed));
  }

  private void appendTokenEvent(StringBuilder events, String id, int token) {
    events.append("id: ").append(id).append('/').append(token).append('\n');
    events.append("data: {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"model\":\"");
    events.append(model).append("\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w");
    events.append(token).append(" \"},\"finish_reason\":null}]}\n\n");
  }

  private void appendFinalEvents(StringBuilder events) {
    events.append("id: ").append(attemptId).append('/').append(totalTokens).append('\n');
    events.append("data: {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"model\":\"");
    events.append(model).append("\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":");
    events.append("\"stop\"}],\"usage\":{\"prompt_tokens\":").append(promptTokens);
    events.append(",\"completion_tokens\":").append(totalTokens).append("}}\n\n");
    events.append(END_MARKER);
  }

  private synchronized void onWritten(boolean last) {
    writing = false;
    if (last && !ended) {
      finish(null);
    }
  }

  private synchronized void onWriteFailed(Throwable failure) {
    writing = false;
    if (!ended) {
      finish(failure);
    }
  }

  private void finish(Throwable failure) {
    ended = true;
    if (failure == null) {
      callback.succeeded();
    } else {
      callback.failed(failure);
    }
    onEnd.run();
  }
}
