package org.clementinequay.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.clementinequay.core.forward.AccountKeys;
import org.clementinequay.core.forward.ForwardingConfiguration;
import org.clementinequay.core.forward.Route;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Handles callers' requests: reads the whole body, finds the route and the client account, and
 * starts a {@link RequestForwarder}.
 */
public final class GatewayHandler extends Handler.Abstract {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int DEFAULT_MAX_BODY_BYTES = 4 << 20;

  private final Gateway gateway;
  private final AtomicLong openRequests = new AtomicLong();
  private volatile boolean draining;

  public GatewayHandler(Gateway gateway) {
    this.gateway = gateway;
  }

  /**
   * Closes the connection after each response from now on, also of requests in progress, so that
   * callers use other hosts.
   */
  public void startDraining() {
    draining = true;
  }

  /** Returns the number of requests in progress. */
  public long openRequests() {
    return openRequests.get();
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    long receivedNanos = gateway.clock.nanoTime();
    CloseAwareEndPoint endPoint = closeAwareEndPoint(request);
    if (endPoint != null && !endPoint.tryBeginRequest()) {
      endPoint.close();
      callback.failed(new IOException("the connection was closed before the request"));
      return true;
    }
    openRequests.incrementAndGet();
    Callback completion = Callback.from(() -> endRequest(endPoint), callback);
    JettyCallerResponse callerResponse =
        new JettyCallerResponse(response, completion, endPoint, receivedNanos);
    int maxBodyBytes =
        gateway.configuration().map(c -> c.limits().maxBodyBytes()).orElse(DEFAULT_MAX_BODY_BYTES);
    Content.Source.asByteArrayAsync(request, maxBodyBytes)
        .whenComplete(
            (body, failure) -> {
              try {
                onBodyRead(request, body, failure, callerResponse, endPoint);
              } catch (RuntimeException e) {
                logger.atSevere().withCause(e).log("a request could not be handled");
                callerResponse.refuse("", HttpStatus.INTERNAL_SERVER_ERROR_500, "internal error");
              }
            });
    return true;
  }

  /**
   * Called when a response was written and before Jetty reads the next request of its connection.
   */
  private void endRequest(CloseAwareEndPoint endPoint) {
    openRequests.decrementAndGet();
    if (endPoint == null) {
      return;
    }
    if (draining) {
      // The head may have been sent before the stop, without the header that announces the close.
      endPoint.closeAfterRequest();
    }
    endPoint.endRequest();
  }

  private void onBodyRead(
      Request request,
      byte[] body,
      Throwable failure,
      JettyCallerResponse callerResponse,
      CloseAwareEndPoint endPoint) {
    GatewayRequest parsed;
    try {
      parsed = gateway.protocol.decode(request);
    } catch (MalformedRequestException e) {
      callerResponse.refuse("", HttpStatus.BAD_REQUEST_400, e.getMessage());
      return;
    }
    String id = parsed.id().orElse("");
    if (failure == null) {
      forward(parsed, body, callerResponse, endPoint);
    } else if (failure instanceof IllegalStateException
        || failure.getCause() instanceof IllegalStateException) {
      callerResponse.refuse(id, HttpStatus.PAYLOAD_TOO_LARGE_413, "the body is too long");
    } else {
      gateway.log.record("body_broken", "request", id, "reason", Failures.summary(failure));
      callerResponse.abort("the body could not be read");
    }
  }

  private static CloseAwareEndPoint closeAwareEndPoint(Request request) {
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    return endPoint instanceof CloseAwareEndPoint closeAware ? closeAware : null;
  }

  private void forward(
      GatewayRequest request,
      byte[] body,
      JettyCallerResponse callerResponse,
      CloseAwareEndPoint endPoint) {
    String id = request.id().orElse("");
    Optional<ForwardingConfiguration> configuration = gateway.configuration();
    if (configuration.isEmpty()) {
      callerResponse.refuse(
          id, HttpStatus.SERVICE_UNAVAILABLE_503, "no configuration is known yet");
      return;
    }
    Optional<Route> route = configuration.get().routes().find(request.host(), request.path());
    if (route.isEmpty()) {
      callerResponse.refuse(id, HttpStatus.NOT_FOUND_404, "no such route");
      return;
    }
    Optional<AccountKeys> account = request.apiKey().flatMap(configuration.get()::account);
    boolean requiresKey = configuration.get().requiresApiKeys() && !route.get().anonymousAccess();
    if (requiresKey && account.isEmpty()) {
      callerResponse.refuse(id, HttpStatus.UNAUTHORIZED_401, "unknown API key");
      return;
    }
    Runnable onFinished = endPoint == null ? () -> {} : endPoint::stopWatching;
    RequestForwarder forwarder =
        new RequestForwarder(
            gateway,
            request,
            route.get(),
            account,
            body,
            callerResponse,
            callerResponse.receivedNanos,
            onFinished);
    if (endPoint != null) {
      endPoint.watchForClose(forwarder::callerDisconnected);
    }
    forwarder.start();
  }

  private final class JettyCallerResponse implements CallerResponse {
    private final Response response;
    private final Callback callback;
    private final CloseAwareEndPoint endPoint;
    private final AtomicBoolean completed = new AtomicBoolean();
    private final long receivedNanos;
    private boolean headSet;

    private JettyCallerResponse(
        Response response, Callback callback, CloseAwareEndPoint endPoint, long receivedNanos) {
      this.response = response;
      this.callback = callback;
      this.endPoint = endPoint;
      this.receivedNanos = receivedNanos;
    }

    /** Refuses a request that was not sent to any upstream. */
    private void refuse(String id, int status, String reason) {
      long version = gateway.configuration().map(ForwardingConfiguration::version).orElse(0L);
      gateway.log.record(
          "refused", "request", id, "status", status, "reason", reason, "configuration", version);
      long elapsedNanos = gateway.clock.nanoTime() - receivedNanos;
      gateway.observer.requestFinished("", "", status, "refused", 0, elapsedNanos);
      sendComplete(
          status,
          ErrorResponses.headers(status, ErrorResponses.DEFAULT_RETRY_AFTER_SECONDS),
          ErrorResponses.body(reason));
    }

    @Override
    public void sendComplete(int status, HttpFields headers, byte[] body) {
      if (headSet) {
        abort("the response has begun with another head");
        return;
      }
      if (completed.compareAndSet(false, true)) {
        setHead(status, headers);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
      }
    }

    @Override
    public void sendHead(int status, HttpFields headers) {
      setHead(status, headers);
      // Jetty omits the chunked encoding on a connection that will close, and a truncated response
      // would then look complete.
      response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, "chunked");
    }

    private void setHead(int status, HttpFields headers) {
      headSet = true;
      response.setStatus(status);
      for (HttpField field : headers) {
        response.getHeaders().add(field);
      }
      if (draining) {
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
      }
    }

    @Override
    public void sendPart(ByteBuffer bytes, Callback sent) {
      response.write(false, bytes, sent);
    }

    @Override
    public void end() {
      if (completed.compareAndSet(false, true)) {
        response.write(true, null, callback);
      }
    }

    @Override
    public boolean isDisconnected() {
      return endPoint != null && endPoint.isClosedByCaller();
    }

    @Override
    public void abort(String reason) {
      if (completed.compareAndSet(false, true)) {
        callback.failed(new IOException(reason));
      }
    }
  }
}
