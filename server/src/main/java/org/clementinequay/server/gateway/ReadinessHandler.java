package org.clementinequay.server.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpHeader;
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
  private final Supplier<String> metrics;
  private volatile boolean draining;

  ReadinessHandler(Gateway gateway, Supplier<String> metrics) {
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
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; version=0.0.4");
      response.write(
          true, ByteBuffer.wrap(metrics.get().getBytes(StandardCharsets.UTF_8)), callback);
      return;
    }
    boolean ready =
        !draining && gateway.configuration().isPresent() && gateway.instanceListAgeNanos() >= 0;
    response.setStatus(ready ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
    callback.succeeded();
  }
}
