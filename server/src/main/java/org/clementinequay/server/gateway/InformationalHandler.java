package org.clementinequay.server.gateway;

import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Skips the informational responses of an upstream, of which there may be any number. Jetty 12.1.13
 * skips 102, 103 and the first 100 only; behind another one it reads no further, not even the close
 * of the connection.
 */
final class InformationalHandler extends ProcessingProtocolHandler {
  @Override
  public String getName() {
    return "informational";
  }

  @Override
  public boolean accept(Request request, Response response) {
    return HttpStatus.isInformational(response.getStatus())
        && response.getStatus() != HttpStatus.SWITCHING_PROTOCOLS_101;
  }
}
