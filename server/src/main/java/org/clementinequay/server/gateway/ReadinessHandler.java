package org.clementinequay.server.gateway;

import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Answers the load balancer's readiness check: ready once a configuration and the list of upstreams
 * were read, until draining starts. Also serves the metrics. Runs on a server of its own, so that
 * neither waits behind requests of callers.
 */
final class ReadinessHandler extends Handler.Abstract {
  static final String METRICS_PATH = "/metrics";

  private final Gateway gateway;
  private final MetricsText metrics;
  private volatile boolean draining;

  ReadinessHandler(Gateway gateway, MetricsText metrics) {
    this.gateway = gateway;
    this.metrics = metrics;
  }

  void startDraining() {
    draining = true;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    CloseAwareEndPoint endPoint = CloseAwareEndPoint.of(request);
    endPoint.beginRequest(request);
    answer(request, response, Callback.from(endPoint::endRequest, callback));
    return true;
  }

  private void answer(Request request, Response response, Callback callback) {
    if (Request.getPathInContext(request).equals(METRICS_PATH)) {
      sendMetrics(request, response, callback);
      return;
    }
    boolean ready =
        !draining && gateway.configuration().isPresent() && gateway.instanceListAgeNanos() >= 0;
    response.setStatus(ready ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
    callback.succeeded();
  }

  private void sendMetrics(Request request, Response response, Callback callback) {
    Optional<List<byte[]>> text = metrics.open();
    if (text.isEmpty()) {
      response.setStatus(HttpStatus.SERVICE_UNAVAILABLE_503);
      callback.succeeded();
      return;
    }
    Callback onEnd = Callback.from(metrics::close, callback);
    new MetricsResponse(request, response, text.get(), onEnd).iterate();
  }
}
