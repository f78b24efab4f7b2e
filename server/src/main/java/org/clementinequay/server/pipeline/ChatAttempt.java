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
 * One attempt to run a chat completion on an engine: checks the stream and either passes its events
 * through or collects its text. Parses an event only if it may hold the usage, or if the text is
 * collected.
 */
final class ChatAttempt implements UpstreamListener {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final byte[] DATA_FIELD = "data: ".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] EVENT_END = "\n\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] USAGE_KEY = "\"usage\":{".getBytes(StandardCharsets.US_ASCII);
  private static final int STATUS_OK = 200;

  /** Decides what happens with the attempt's output and end. */
  interface Owner {
    /** Events for the caller, as complete server-sent events. */
    void output(ChatAttempt attempt, ByteBuffer events, Callback next);

    /** The whole answer arrived. */
    void whole(ChatAttempt attempt);

    /** The attempt ended without its whole answer. */
    void broken(ChatAttempt attempt, Throwable cause);
  }

  final AttemptId id;
  final Upstream upstream;
  private final Owner owner;
  private final RuntimeClock clock;
  private final boolean collects;
  private final boolean passes;
  private final EventStreamReader reader;
  private final StringBuilder text = new StringBuilder();
  private final Output output = new Output();
  private UpstreamTransport.Call call;
  private int status;
  private long firstEventNanos;
  private boolean foreignAnswer;
  private boolean offered = true;
  private long promptTokens;
  private long completionTokens;
  private String finishReason = "stop";
  private IOException malformed;

  /**
   * Creates an attempt.
   *
   * @param collects whether the text is kept
   * @param passes whether the events go to the owner as they come
   */
  ChatAttempt(
      AttemptId id,
      Upstream upstream,
      Owner owner,
      RuntimeClock clock,
      boolean collects,
      boolean passes,
      long firstSequence) {
    this.id = id;
    this.upstream = upstream;
    this.owner = owner;
    this.clock = clock;
    this.collects = collects;
    this.passes = passes;
    this.reader = new EventStreamReader(id, firstSequence);
  }

  /** Sets the call that carries the attempt; must come before {@link #start}. */
  void call(UpstreamTransport.Call newCall) {
    call = newCall;
  }

  void start() {
    call.start();
  }

  void abandon(Throwable cause) {
    call.abort(cause);
  }

  @Override
  public void headers(int newStatus, HttpFields headers) {
    status = newStatus;
    foreignAnswer =
        status == STATUS_OK && !id.toString().equals(headers.get(UpstreamClient.ATTEMPT_ID));
  }

  @Override
  public void content(ByteBuffer bytes, Callback next) {
    if (status != STATUS_OK || foreignAnswer) {
      bytes.position(bytes.limit());
      next.succeeded();
      return;
    }
    if (firstEventNanos == 0) {
      firstEventNanos = clock.nanoTime();
    }
    try {
      reader.feed(bytes, this::event);
    } catch (CorruptStreamException e) {
      next.failed(e);
      return;
    }
    if (malformed != null) {
      next.failed(malformed);
    } else if (output.size() > 0) {
      owner.output(this, output.take(), next);
    } else {
      next.succeeded();
    }
  }

  private void event(byte[] bytes, int offset, int length) {
    if (indexOf(bytes, offset, length, USAGE_KEY) >= 0 || collects) {
      parse(bytes, offset, length);
    }
    if (passes) {
      output.write(DATA_FIELD, 0, DATA_FIELD.length);
      output.write(bytes, offset, length);
      output.write(EVENT_END, 0, EVENT_END.length);
    }
  }

  private void parse(byte[] bytes, int offset, int length) {
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
      malformed = e;
    }
  }

  @Override
  public void ended() {
    if (status == STATUS_OK && !foreignAnswer && reader.complete()) {
      owner.whole(this);
    } else if (foreignAnswer) {
      owner.broken(this, new IOException("answer belongs to another attempt"));
    } else {
      owner.broken(
          this,
          new IOException(
              status == STATUS_OK ? "stream has no end marker" : "upstream answered " + status));
    }
  }

  @Override
  public void failed(Throwable cause, boolean wasOffered) {
    offered = wasOffered;
    owner.broken(this, cause);
  }

  boolean offered() {
    return offered;
  }

  /** Returns whether the upstream failed, as opposed to refusing a version it has not loaded. */
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

  /** Returns the tokens stated by the engine, or the events received while it has not said. */
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

  private static final class Output extends ByteArrayOutputStream {
    /** Returns what was written, without a copy, and starts anew. */
    private ByteBuffer take() {
      ByteBuffer taken = ByteBuffer.wrap(buf, 0, count);
      buf = new byte[Math.max(64, count)];
      count = 0;
      return taken;
    }
  }
}
