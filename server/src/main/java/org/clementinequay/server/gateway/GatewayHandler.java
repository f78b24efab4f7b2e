package org.clementinequay.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Handles callers' requests: starts a {@link RequestReceipt} for each and knows the open ones. */
public final class GatewayHandler extends Handler.Abstract {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

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
    CloseAwareEndPoint endPoint = CloseAwareEndPoint.of(request);
    int headBytes = endPoint.beginRequest(request);
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
    try {
      new RequestReceipt(gateway, request, headBytes, exchange, endPoint).start();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("a request could not be handled");
      exchange.refuse("", HttpStatus.INTERNAL_SERVER_ERROR_500, "internal error");
    }
    return true;
  }

  /**
   * Called when a response was written and before Jetty reads the next request of its connection.
   */
  private void endRequest(CallerExchange exchange, CloseAwareEndPoint endPoint) {
    openExchanges.remove(exchange);
    endPoint.endRequest();
  }
}
