package org.clementinequay.server.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.clementinequay.core.AttemptId;
import org.clementinequay.core.config.Upstream;
import org.clementinequay.core.dispatch.CorruptStreamException;
import org.clementinequay.core.dispatch.EventStreamReader;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.upstream.UpstreamClient;
import org.clementinequay.server.upstream.UpstreamListener;
import org.clementinequay.server.upstream.UpstreamTransport;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.Callback;

/**
 * One attempt to run a chat completion on an engine. Checks the event stream and forwards its
 * events, collects its text, or both. An event is parsed only if it may contain the usage or if the
 * text is collected.
 */
final class ChatAttempt implements UpstreamListener {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final byte[] DATA_FIELD = "data: ".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] EVENT_END = "\n\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] USAGE_KEY = "\"usage\":{".getBytes(StandardCharsets.US_ASCII);
  private static final int STATUS_OK = 200;

  /** Receives the events and the result of an attempt. */
  interface Listener {
    /** Called with complete server-sent events that are to be sent to the caller. */
    void onEvents(ChatAttempt attempt, ByteBuffer events, Callback next);

    /** Called when the complete answer has arrived. */
    void onComplete(ChatAttempt attempt);

    /** Called when the attempt ended without a complete answer. */
    void onFailure(ChatAttempt attempt, Throwable cause);
  }

  final AttemptId id;
  final Upstream upstream;
  private final Listener listener;
  private final RuntimeClock clock;
  private final boolean collectsText;
  private final boolean forwardsEvents;
  private final EventStreamReader reader;
  private final StringBuilder text = new StringBuilder();
  private final EventBuffer eventBuffer = new EventBuffer();
  private UpstreamTransport.Call call;
  private int status;
  private long firstEventNanos;
  private boolean otherAttempt;
  private boolean maybeSent = true;
  private long promptTokens;
  private long completionTokens;
  private String finishReason = "stop";
  private IOException parseFailure;

  /**
   * Creates an attempt.
   *
   * @param collectsText whether the text of the answer is collected for {@link #text}
   * @param forwardsEvents whether the listener receives the events as they arrive
   * @param firstSequence sequence number of the first event that is not dropped as repeated
   */
  ChatAttempt(
      AttemptId id,
      Upstream upstream,
      Listener listener,
      RuntimeClock clock,
      boolean collectsText,
      boolean forwardsEvents,
      long firstSequence) {
    this.id = id;
    this.upstream = upstream;
    this.listener = listener;
    this.clock = clock;
    this.collectsText = collectsText;
    this.forwardsEvents = forwardsEvents;
    this.reader = new EventStreamReader(id, firstSequence);
  }

  /** Sets the call that carries the attempt; must be called before {@link #start}. */
  void setCall(UpstreamTransport.Call newCall) {
    call = newCall;
  }

  void start() {
    call.start();
  }

  void abort(Throwable cause) {
    call.abort(cause);
  }

  @Override
  public void headers(int newStatus, HttpFields headers) {
    status = newStatus;
    otherAttempt =
        status == STATUS_OK && !id.toString().equals(headers.get(UpstreamClient.ATTEMPT_ID_HEADER));
  }

  @Override
  public void content(ByteBuffer bytes, Callback next) {
    if (status != STATUS_OK || otherAttempt) {
      bytes.position(bytes.limit());
      next.succeeded();
      return;
    }
    if (firstEventNanos == 0) {
      firstEventNanos = clock.nanoTime();
    }
    try {
      reader.feed(bytes, this::handleEvent);
    } catch (CorruptStreamException e) {
      next.failed(e);
      return;
    }
    if (parseFailure != null) {
      next.failed(parseFailure);
    } else if (eventBuffer.size() > 0) {
      listener.onEvents(this, eventBuffer.take(), next);
    } else {
      next.succeeded();
    }
  }

  private void handleEvent(byte[] bytes, int offset, int length) {
    if (indexOf(bytes, offset, length, USAGE_KEY) >= 0 || collectsText) {
      parseEvent(bytes, offset, length);
    }
    if (forwardsEvents) {
      eventBuffer.write(DATA_FIELD, 0, DATA_FIELD.length);
      eventBuffer.write(bytes, offset, length);
      eventBuffer.write(EVENT_END, 0, EVENT_END.length);
    }
  }

  private void parseEvent(byte[] bytes, int offset, int length) {
    try {
      JsonNode event = JSON.readTree(bytes, offset, length);
      JsonNode choice = event.path("choices").path(0);
      text.append(choice.path("delta").path("content").asText(""));
      if (choice.hasNonNull("finish_reason")) {
        finishReason = choice.path("finish_reason").asText();
      }
      if (event.hasNonNull("usage")) {
        promptTokens = event.path("usage").path("prompt_tokens").asLong();
        completionTokens = event.path("usage").path("completion_tokens").asLong();
      }
    } catch (IOException e) {
      parseFailure = e;
    }
  }

  @Override
  public void ended() {
    if (status == STATUS_OK && !otherAttempt && reader.complete()) {
      listener.onComplete(this);
    } else if (otherAttempt) {
      listener.onFailure(this, new IOException("answer belongs to another attempt"));
    } else {
      listener.onFailure(
          this,
          new IOException(
              status == STATUS_OK
                  ? "stream ended without its end marker"
                  : "upstream answered with status " + status));
    }
  }

  @Override
  public void failed(Throwable cause, boolean requestMaybeSent) {
    maybeSent = requestMaybeSent;
    listener.onFailure(this, cause);
  }

  /** Returns whether a byte of the request may have reached the upstream. */
  boolean maybeSent() {
    return maybeSent;
  }

  /** Returns whether the upstream failed, rather than refused a version that it has not loaded. */
  boolean upstreamAtFault() {
    return status == 0 || status >= 500 || status == STATUS_OK;
  }

  long nextSequence() {
    return reader.nextSequence();
  }

  long firstEventNanos() {
    return firstEventNanos;
  }

  String text() {
    return text.toString();
  }

  String finishReason() {
    return finishReason;
  }

  long promptTokens() {
    return promptTokens;
  }

  /**
   * Returns the number of generated tokens: the number that the engine reported, or before that the
   * number of events received.
   */
  long completionTokens() {
    return completionTokens > 0 ? completionTokens : reader.nextSequence();
  }

  private static int indexOf(byte[] bytes, int offset, int length, byte[] pattern) {
    int last = offset + length - pattern.length;
    for (int i = last; i >= offset; i--) {
      int matched = 0;
      while (matched < pattern.length && bytes[i + matched] == pattern[matched]) {
        matched++;
      }
      if (matched == pattern.length) {
        return i;
      }
    }
    return -1;
  }

  private static final class EventBuffer extends ByteArrayOutputStream {
    /** Returns the written bytes without copying them and continues with a new, empty buffer. */
    private ByteBuffer take() {
      ByteBuffer written = ByteBuffer.wrap(buf, 0, count);
      buf = new byte[Math.max(64, count)];
      count = 0;
      return written;
    }
  }
}
