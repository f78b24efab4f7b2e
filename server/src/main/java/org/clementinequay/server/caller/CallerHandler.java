package org.clementinequay.server.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicLong;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.Outcome;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.RequestFailedException;
import org.clementinequay.core.RequestId;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.pipeline.CallerRequest;
import org.clementinequay.server.pipeline.ErrorBody;
import org.clementinequay.server.pipeline.Exchange;
import org.clementinequay.server.pipeline.Pipeline;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** HTTP handler for callers: reads a request, starts the pipeline, and counts open requests. */
public final class CallerHandler extends Handler.Abstract {
  /** Maximum length of a request body, in bytes. */
  public static final int MAX_BODY_BYTES = 4 << 20;

  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;

  private final Pipeline pipeline;
  private final Incarnation incarnation;
  private final RuntimeClock clock;
  private final CallerRequestParser parser = new CallerRequestParser();
  private final AtomicLong sequence = new AtomicLong();
  private final AtomicLong openRequests = new AtomicLong();
  private volatile boolean draining;

  /** Creates a handler that numbers its requests from 1 within the incarnation. */
  public CallerHandler(Pipeline pipeline, Incarnation incarnation, RuntimeClock clock) {
    this.pipeline = pipeline;
    this.incarnation = incarnation;
    this.clock = clock;
  }

  /** Refuses new requests from now on; requests in progress continue. */
  public void drain() {
    draining = true;
  }

  /** Returns the number of requests in progress, without those refused for their path or method. */
  public long openRequests() {
    return openRequests.get();
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    String path = Request.getPathInContext(request);
    boolean knownPath =
        path.equals(CallerRequestParser.CHAT_PATH)
            || (path.startsWith(CallerRequestParser.ROUTE_PREFIX)
                && path.length() > CallerRequestParser.ROUTE_PREFIX.length());
    RequestId id = new RequestId(incarnation, sequence.incrementAndGet());
    if (!knownPath || !request.getMethod().equals("POST")) {
      int status = knownPath ? METHOD_NOT_ALLOWED : NOT_FOUND;
      String message = knownPath ? "use POST" : "no such path";
      refuse(
          RequestFailedException.notRun(RefusalReason.MALFORMED_REQUEST, message),
          status,
          id,
          response,
          callback);
      return true;
    }
    long receivedNanos = clock.nanoTime();
    openRequests.incrementAndGet();
    Callback countedCallback = Callback.from(callback, openRequests::decrementAndGet);
    if (draining) {
      refuse(shuttingDown(), id, response, countedCallback);
      return true;
    }
    if (request.getLength() > MAX_BODY_BYTES) {
      refuse(bodyTooLarge(), id, response, countedCallback);
      return true;
    }
    Content.Source.asByteArrayAsync(request, MAX_BODY_BYTES)
        .whenComplete(
            (body, failure) -> {
              if (failure != null) {
                refuse(bodyFailure(failure), id, response, countedCallback);
              } else if (draining) {
                refuse(shuttingDown(), id, response, countedCallback);
              } else {
                startPipeline(request, path, body, id, receivedNanos, response, countedCallback);
              }
            });
    return true;
  }

  private void startPipeline(
      Request request,
      String path,
      byte[] body,
      RequestId id,
      long receivedNanos,
      Response response,
      Callback callback) {
    try {
      CallerRequest parsed = parser.parse(path, request.getHeaders(), body);
      pipeline.start(new Exchange(id, parsed, new JettyReply(response, callback), receivedNanos));
    } catch (RequestFailedException e) {
      refuse(e, id, response, callback);
    }
  }

  private static RequestFailedException shuttingDown() {
    return RequestFailedException.notRun(
        RefusalReason.SHUTTING_DOWN, "this entry host is shutting down");
  }

  private static RequestFailedException bodyFailure(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof IllegalStateException
        ? bodyTooLarge()
        : RequestFailedException.notRun(
            RefusalReason.MALFORMED_REQUEST, "the body could not be read");
  }

  private static RequestFailedException bodyTooLarge() {
    return RequestFailedException.notRun(
        RefusalReason.BODY_TOO_LARGE, "the body is longer than " + MAX_BODY_BYTES + " bytes");
  }

  private static void refuse(
      RequestFailedException failure, RequestId id, Response response, Callback callback) {
    refuse(failure, failure.reason().httpStatus(), id, response, callback);
  }

  private static void refuse(
      RequestFailedException failure,
      int status,
      RequestId id,
      Response response,
      Callback callback) {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.getHeaders().put("X-Request-Id", id.toString());
    response.getHeaders().put("X-Outcome", Outcome.NOT_RUN.label());
    response.write(
        true,
        ByteBuffer.wrap(ErrorBody.of(failure, id).toString().getBytes(StandardCharsets.UTF_8)),
        callback);
  }
}
