package org.clementinequay.standins;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * One answer of a stand-in engine: tokens become due by time, and all due ones are written together
 * when the previous write has completed. The text is a function of the token's number, so that a
 * resumed stream equals the first one.
 */
final class EngineStream {
  private static final String END_MARKER = "data: [DONE]\n\n";
  private static final int EVENT_CHARS = 200;

  final String attemptId;
  final int priority;
  private final String model;
  private final int promptTokens;
  private final int totalTokens;
  private final Response response;
  private final Callback callback;
  private final EngineFault fault;
  private final int faultAfter;
  private final Runnable onEnd;

  private long startNanos;
  private int next;
  private boolean writing;
  private boolean ended;

  EngineStream(EngineRequest request, Response response, Callback callback, Runnable onEnd) {
    this.attemptId = request.attemptId();
    this.priority = request.priority();
    this.model = request.model();
    this.promptTokens = request.promptTokens();
    this.totalTokens = request.totalTokens();
    this.next = request.from();
    this.fault = request.fault();
    this.faultAfter = request.faultAfter();
    this.response = response;
    this.callback = callback;
    this.onEnd = onEnd;
  }

  synchronized void start(long nowNanos) {
    startNanos = nowNanos;
  }

  /** Writes the tokens that are due. */
  synchronized void advance(long nowNanos, long firstTokenNanos, long tokenNanos) {
    if (writing || ended) {
      return;
    }
    long running = nowNanos - startNanos - firstTokenNanos;
    if (running < 0) {
      return;
    }
    int due = (int) Math.min(totalTokens, 1 + running / Math.max(1, tokenNanos));
    boolean faulty = fault != EngineFault.NONE && due > faultAfter;
    if (faulty && (fault == EngineFault.STALL || fault == EngineFault.CUT)) {
      due = faultAfter;
    }
    if (due > next) {
      write(due, faulty);
    } else if (faulty && fault == EngineFault.CUT) {
      finish(null);
    }
  }

  /** Ends the stream without further output. */
  synchronized void cancel() {
    if (!ended) {
      finish(new IllegalStateException("attempt was cancelled"));
    }
  }

  private void write(int due, boolean faulty) {
    StringBuilder out = new StringBuilder((due - next) * EVENT_CHARS);
    for (int token = next; token < due; token++) {
      appendEvent(out, attemptId, token);
      if (faulty && token == faultAfter && fault == EngineFault.CROSS) {
        appendEvent(out, "ffffffffffffffffffffffffffffffff-1.1", token);
      }
      if (faulty && token == faultAfter && fault == EngineFault.DUPLICATE) {
        appendEvent(out, attemptId, token);
      }
    }
    next = due;
    boolean last = due == totalTokens;
    if (last) {
      appendFinish(out);
    }
    writing = true;
    response.write(
        last,
        ByteBuffer.wrap(out.toString().getBytes(StandardCharsets.UTF_8)),
        Callback.from(() -> written(last), this::failed));
  }

  private void appendEvent(StringBuilder out, String id, int token) {
    out.append("id: ").append(id).append('/').append(token).append('\n');
    out.append("data: {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"model\":\"");
    out.append(model).append("\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w");
    out.append(token).append(" \"},\"finish_reason\":null}]}\n\n");
  }

  private void appendFinish(StringBuilder out) {
    out.append("id: ").append(attemptId).append('/').append(totalTokens).append('\n');
    out.append("data: {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"model\":\"");
    out.append(model).append("\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":");
    out.append("\"stop\"}],\"usage\":{\"prompt_tokens\":").append(promptTokens);
    out.append(",\"completion_tokens\":").append(totalTokens).append("}}\n\n");
    out.append(END_MARKER);
  }

  private synchronized void written(boolean last) {
    writing = false;
    if (last && !ended) {
      finish(null);
    }
  }

  private synchronized void failed(Throwable failure) {
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
