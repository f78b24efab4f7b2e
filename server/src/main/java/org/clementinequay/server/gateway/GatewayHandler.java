package org.clementinequay.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.clementinequay.core.forward.AccountKeys;
import org.clementinequay.core.forward.ForwardingConfiguration;
import org.clementinequay.core.forward.Route;
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

  private static final int DEFAULT_MAX_HEAD_BYTES = 16 << 10;
  private static final int DEFAULT_MAX_BODY_BYTES = 4 << 20;

  /** Methods that are not for the upstreams of a route. */
  private static final Set<String> REFUSED_METHODS = Set.of("CONNECT", "TRACE");

  private final Gateway gateway;
  private final Set<CallerExchange> openExchanges = ConcurrentHashMap.newKeySet();
  private volatile boolean draining;

  public GatewayHandler(Gateway gateway) {
    this.gateway = gateway;
  }

  /** Announces the close of the connection in each response from now on. */
  void startDraining() {
    draining = true;
  }

  /** Returns the number of requests in progress. */
  public long openRequests() {
    return openExchanges.size();
  }

  /** Ends the requests in progress, which the end of the process would leave without a response. */
  void endRequests(long stopNanos) {
    for (CallerExchange exchange : openExchanges) {
      try {
        exchange.logUnfinished(stopNanos);
        exchange.endForStop();
      } catch (RuntimeException e) {
        // The other requests must be ended all the same.
        logger.atSevere().withCause(e).log("a request could not be ended");
      }
    }
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    CloseAwareEndPoint endPoint = closeAwareEndPoint(request);
    if (endPoint != null) {
      endPoint.beginRequest();
    }
    CallerExchange exchange =
        new CallerExchange(
            gateway, response, callback, endPoint, () -> draining, e -> endRequest(e, endPoint));
    openExchanges.add(exchange);
    if (REFUSED_METHODS.contains(request.getMethod())) {
      // Jetty would keep the connection as a tunnel, whatever the status.
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
      exchange.refuse("", HttpStatus.BAD_REQUEST_400, "the method is not supported");
      return true;
    }
    int maxBodyBytes =
        gateway.configuration().map(c -> c.limits().maxBodyBytes()).orElse(DEFAULT_MAX_BODY_BYTES);
    Content.Source.asByteArrayAsync(request, maxBodyBytes)
        .whenComplete(
            (body, failure) -> {
              try {
                onBodyRead(request, body, failure, exchange, endPoint);
              } catch (RuntimeException e) {
                logger.atSevere().withCause(e).log("a request could not be handled");
                exchange.refuse("", HttpStatus.INTERNAL_SERVER_ERROR_500, "internal error");
              }
            });
    return true;
  }

  /**
   * Called when a response was written and before Jetty reads the next request of its connection.
   */
  private void endRequest(CallerExchange exchange, CloseAwareEndPoint endPoint) {
    openExchanges.remove(exchange);
    if (endPoint != null) {
      endPoint.endRequest();
    }
  }

  private void onBodyRead(
      Request request,
      byte[] body,
      Throwable failure,
      CallerExchange exchange,
      CloseAwareEndPoint endPoint) {
    GatewayRequest parsed;
    try {
      parsed = gateway.protocol.decode(request);
    } catch (MalformedRequestException e) {
      exchange.refuse("", HttpStatus.BAD_REQUEST_400, e.getMessage());
      return;
    }
    String id = parsed.id().orElse("");
    if (RequestHeadSize.bytes(request) > maxHeadBytes()) {
      exchange.refuse(
          id,
          HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431,
          "the head of the request is too long");
    } else if (failure == null) {
      exchange.bodyRead();
      forward(parsed, body, exchange, endPoint);
    } else if (failure instanceof IllegalStateException
        || failure.getCause() instanceof IllegalStateException) {
      exchange.refuse(id, HttpStatus.PAYLOAD_TOO_LARGE_413, "the body is too long");
    } else {
      gateway.log.record("body_broken", "request", id, "reason", Failures.summary(failure));
      exchange.abort("the body could not be read");
    }
  }

  private int maxHeadBytes() {
    return gateway
        .configuration()
        .map(c -> c.limits().maxHeaderBytes())
        .orElse(DEFAULT_MAX_HEAD_BYTES);
  }

  private static CloseAwareEndPoint closeAwareEndPoint(Request request) {
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    return endPoint instanceof CloseAwareEndPoint closeAware ? closeAware : null;
  }

  private void forward(
      GatewayRequest request, byte[] body, CallerExchange exchange, CloseAwareEndPoint endPoint) {
    String id = request.id().orElse("");
    Optional<ForwardingConfiguration> configuration = gateway.configuration();
    if (configuration.isEmpty()) {
      exchange.refuse(id, HttpStatus.SERVICE_UNAVAILABLE_503, "no configuration is known yet");
      return;
    }
    Optional<Route> route = configuration.get().routes().find(request.host(), request.path());
    if (route.isEmpty()) {
      exchange.refuse(id, HttpStatus.NOT_FOUND_404, "no such route");
      return;
    }
    Optional<AccountKeys> account = request.apiKey().flatMap(configuration.get()::account);
    boolean requiresKey = configuration.get().requiresApiKeys() && !route.get().anonymousAccess();
    if (requiresKey && account.isEmpty()) {
      exchange.refuse(id, HttpStatus.UNAUTHORIZED_401, "unknown API key");
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
            exchange,
            exchange.receivedNanos,
            onFinished);
    exchange.forwardedBy(forwarder);
    if (endPoint != null) {
      endPoint.watchForClose(forwarder::callerDisconnected);
    }
    forwarder.start();
  }
}
