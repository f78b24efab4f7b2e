package org.clementinequay.server.gateway;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;

/**
 * Writes Jetty's own error responses. Closes the connection of a CONNECT request, which Jetty would
 * keep as a tunnel, whatever the status.
 */
final class ConnectErrorHandler extends ErrorHandler {
  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    if (HttpMethod.CONNECT.is(request.getMethod())) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
    return super.handle(request, response, callback);
  }
}
