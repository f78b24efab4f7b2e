package org.clementinequay.server.gateway;

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

/** Takes callers' requests: reads them whole, finds route and account, and starts their run. */
public final class GatewayHandler extends Handler.Abstract {
  private static final int DEFAULT_MAX_BODY_BYTES = 4 << 20;

  private final Gateway gateway;
  private final AtomicLong open = new AtomicLong();
  private volatile boolean leaving;

  /** Creates the handler. */
  public GatewayHandler(Gateway gateway) {
    this.gateway = gateway;
  }

  /** Answers close their connections from now on, so that callers go to other hosts. */
  public void leave() {
    leaving = true;
  }

  /** Returns the requests in progress. */
  public long openRequests() {
    return open.get();
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    long received = gateway.clock.nanoTime();
    open.incrementAndGet();
    WatchedEndPoint link = endPoint(request);
    if (link != null) {
      link.busy(true);
    }
    Callback counted =
        Callback.from(
            callback,
            () -> {
              open.decrementAndGet();
              if (link != null) {
                link.busy(false);
              }
            });
    Reply reply = new Reply(response, counted, received);
    int maxBody =
        gateway.configuration().map(c -> c.limits().maxBodyBytes()).orElse(DEFAULT_MAX_BODY_BYTES);
    Content.Source.asByteArrayAsync(request, maxBody)
        .whenComplete((body, failure) -> received(request, body, failure, reply, link));
    return true;
  }

  private void received(
      Request request, byte[] body, Throwable failure, Reply reply, WatchedEndPoint link) {
    GatewayRequest parsed;
    try {
      parsed = gateway.protocol.decode(request);
    } catch (MalformedRequestException e) {
      reply.refuse("", HttpStatus.BAD_REQUEST_400, e.getMessage());
      return;
    }
    String id = parsed.id().orElse("");
    if (failure == null) {
      start(parsed, body, reply, link);
    } else if (failure instanceof IllegalStateException
        || failure.getCause() instanceof IllegalStateException) {
      reply.refuse(id, HttpStatus.PAYLOAD_TOO_LARGE_413, "the body is too long");
    } else {
      gateway.log.record("body_broken", "request", id, "reason", Failures.summary(failure));
      reply.abort("the body could not be read");
    }
  }

  private static WatchedEndPoint endPoint(Request request) {
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    return endPoint instanceof WatchedEndPoint watched ? watched : null;
  }

  private void start(GatewayRequest request, byte[] body, Reply reply, WatchedEndPoint link) {
    String id = request.id().orElse("");
    Optional<ForwardingConfiguration> configuration = gateway.configuration();
    if (configuration.isEmpty()) {
      reply.refuse(id, HttpStatus.SERVICE_UNAVAILABLE_503, "no configuration is known yet");
      return;
    }
    Optional<Route> route = configuration.get().routes().find(request.host(), request.path());
    if (route.isEmpty()) {
      reply.refuse(id, HttpStatus.NOT_FOUND_404, "no such route");
      return;
    }
    Optional<AccountKeys> account = request.apiKey().flatMap(configuration.get()::account);
    boolean needsKey = configuration.get().requiresApiKeys() && !route.get().anonymousAccess();
    if (needsKey && account.isEmpty()) {
      reply.refuse(id, HttpStatus.UNAUTHORIZED_401, "unknown API key");
      return;
    }
    Runnable ended = link == null ? () -> {} : link::unwatch;
    GatewayRun run =
        new GatewayRun(
            gateway, request, route.get(), account, body, reply, reply.receivedNanos, ended);
    if (link != null) {
      link.watch(run::callerGone);
    }
    run.start();
  }

  private final class Reply implements CallerReply {
    private final Response response;
    private final Callback callback;
    private final AtomicBoolean done = new AtomicBoolean();
    private final long receivedNanos;

    private Reply(Response response, Callback callback, long receivedNanos) {
      this.response = response;
      this.callback = callback;
      this.receivedNanos = receivedNanos;
    }

    /** Refuses a request before any attempt. */
    private void refuse(String id, int status, String why) {
      long version = gateway.configuration().map(ForwardingConfiguration::version).orElse(0L);
      gateway.log.record(
          "refused", "request", id, "status", status, "reason", why, "configuration", version);
      long elapsed = gateway.clock.nanoTime() - receivedNanos;
      gateway.observer.finished("", "", status, "refused", 0, elapsed);
      whole(status, Refusals.headers(status, Refusals.DEFAULT_RETRY_SECONDS), Refusals.body(why));
    }

    @Override
    public void whole(int status, HttpFields headers, byte[] body) {
      if (done.compareAndSet(false, true)) {
        status(status, headers);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
      }
    }

    @Override
    public void head(int status, HttpFields headers) {
      status(status, headers);
      // Without chunks, which Jetty leaves out on a connection that will close, a cut answer would
      // look complete.
      response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, "chunked");
    }

    private void status(int status, HttpFields headers) {
      response.setStatus(status);
      for (HttpField field : headers) {
        response.getHeaders().add(field);
      }
      if (leaving) {
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
      }
    }

    @Override
    public void part(ByteBuffer bytes, Callback sent) {
      response.write(false, bytes, sent);
    }

    @Override
    public void end() {
      if (done.compareAndSet(false, true)) {
        response.write(true, null, callback);
      }
    }

    @Override
    public void abort(String reason) {
      if (done.compareAndSet(false, true)) {
        callback.failed(new IOException(reason));
      }
    }
  }
}
