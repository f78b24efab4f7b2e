package org.clementinequay.server.gateway;

import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Answers the balancer's readiness check: ready once a configuration and upstreams are known. */
final class ReadyHandler extends Handler.Abstract {
  private final Gateway gateway;
  private volatile boolean leaving;

  ReadyHandler(Gateway gateway) {
    this.gateway = gateway;
  }

  void leave() {
    leaving = true;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    boolean ready =
        !leaving && gateway.configuration().isPresent() && gateway.directoryAgeNanos() >= 0;
    response.setStatus(ready ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
    callback.succeeded();
    return true;
  }
}
