package org.clementinequay.server.gateway;

import com.google.common.net.HostAndPort;
import java.util.concurrent.TimeUnit;
import org.clementinequay.server.upstream.UpstreamCall;
import org.clementinequay.server.upstream.UpstreamListener;
import org.clementinequay.server.upstream.UpstreamTransport;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;

/** Sends attempts with Jetty's HTTP client. */
final class JettyUpstreamSender implements UpstreamSender {
  private final HttpClient client;

  /**
   * Client for requests that need a new connection; each of its connections carries one request.
   */
  private final HttpClient singleUseClient;

  JettyUpstreamSender(HttpClient client, HttpClient singleUseClient) {
    this.client = client;
    this.singleUseClient = singleUseClient;
  }

  @Override
  public UpstreamTransport.Call newCall(OutboundRequest outbound, UpstreamListener listener) {
    HostAndPort upstream = HostAndPort.fromString(outbound.address());
    Request request =
        new VerbatimRequest(
                outbound.newConnection() ? singleUseClient : client,
                upstream,
                outbound.method(),
                outbound.pathQuery())
            .idleTimeout(Math.max(1, outbound.idleTimeoutMillis()), TimeUnit.MILLISECONDS)
            .headers(
                fields -> {
                  fields.add(outbound.headers());
                  if (outbound.newConnection()) {
                    fields.put(HttpHeader.CONNECTION, "close");
                  }
                });
    if (outbound.body().length > 0) {
      String contentType = outbound.headers().get(HttpHeader.CONTENT_TYPE);
      request.body(new CopiedContent(contentType, outbound.body()));
    }
    return new UpstreamCall(request, listener);
  }
}
