package org.clementinequay.server.pipeline;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.clementinequay.core.AttemptId;
import org.clementinequay.core.config.Upstream;
import org.clementinequay.server.upstream.UpstreamClient;
import org.clementinequay.server.upstream.UpstreamListener;
import org.clementinequay.server.upstream.UpstreamTransport;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.Callback;

/** A transport whose calls answer as scripted, before their {@code start} has returned. */
final class ScriptedTransport implements UpstreamTransport {
  /** How a call ends. */
  enum Behaviour {
    COMPLETE,
    STATUS_500,
    NOT_CONNECTED,
    FAILED_AFTER_SEND,
    CUT_AFTER_ONE_EVENT
  }

  final Queue<Behaviour> script = new ArrayDeque<>();
  final List<String> sent = new ArrayList<>();
  final List<AttemptId> cancelled = new ArrayList<>();

  @Override
  public Call createChatCall(
      Upstream upstream,
      AttemptId attempt,
      int priority,
      byte[] body,
      long timeoutMillis,
      UpstreamListener listener) {
    sent.add("complete " + upstream.name());
    return scriptedCall(attempt, 0, listener);
  }

  @Override
  public Call createResumeCall(
      Upstream upstream,
      AttemptId attempt,
      long fromSequence,
      long timeoutMillis,
      UpstreamListener listener) {
    sent.add("resume " + upstream.name() + " from " + fromSequence);
    return scriptedCall(attempt, fromSequence, listener);
  }

  @Override
  public Call createRouteCall(
      Upstream upstream,
      String route,
      AttemptId attempt,
      byte[] body,
      long timeoutMillis,
      UpstreamListener listener) {
    sent.add("call " + upstream.name());
    return scriptedCall(attempt, 0, listener);
  }

  @Override
  public void cancel(Upstream upstream, AttemptId attempt) {
    cancelled.add(attempt);
  }

  private Call scriptedCall(AttemptId attempt, long from, UpstreamListener listener) {
    return new Call() {
      @Override
      public void start() {
        respond(script.remove(), attempt, from, listener);
      }

      @Override
      public void abort(Throwable cause) {}
    };
  }

  private static void respond(
      Behaviour behaviour, AttemptId attempt, long from, UpstreamListener listener) {
    switch (behaviour) {
      case NOT_CONNECTED -> listener.failed(new java.net.ConnectException("refused"), false);
      case FAILED_AFTER_SEND -> listener.failed(new java.io.EOFException("closed"), true);
      case STATUS_500 -> {
        listener.headers(500, HttpFields.EMPTY);
        listener.ended();
      }
      case CUT_AFTER_ONE_EVENT -> {
        listener.headers(
            200, HttpFields.build().put(UpstreamClient.ATTEMPT_ID_HEADER, attempt.toString()));
        content(listener, event(attempt, from, "{\"n\":" + from + "}"));
        listener.ended();
      }
      default -> {
        listener.headers(
            200, HttpFields.build().put(UpstreamClient.ATTEMPT_ID_HEADER, attempt.toString()));
        String usage =
            "{\"choices\":[{\"finish_reason\":\"stop\"}],"
                + "\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2}}";
        content(
            listener,
            event(attempt, from, "{\"n\":" + from + "}")
                + event(attempt, from + 1, usage)
                + "data: [DONE]\n\n");
        listener.ended();
      }
    }
  }

  private static String event(AttemptId attempt, long sequence, String data) {
    return "id: " + attempt + "/" + sequence + "\ndata: " + data + "\n\n";
  }

  private static void content(UpstreamListener listener, String text) {
    listener.content(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), Callback.NOOP);
  }
}
