package org.clementinequay.server.gateway;

import com.google.common.net.HostAndPort;
import java.util.concurrent.TimeUnit;
import org.clementinequay.server.upstream.UpstreamCall;
import org.clementinequay.server.upstream.UpstreamListener;
import org.clementinequay.server.upstream.UpstreamTransport;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Sends attempts with Jetty's client. */
final class JettySender implements UpstreamSender {
  private final HttpClient client;

  /** Client whose connections carry one request each, so that none is a kept one. */
  private final HttpClient onceClient;

  JettySender(HttpClient client, HttpClient onceClient) {
    this.client = client;
    this.onceClient = onceClient;
  }

  @Override
  public UpstreamTransport.Call call(
      String address,
      String method,
      String pathQuery,
      HttpFields headers,
      byte[] body,
      boolean once,
      long silenceMillis,
      UpstreamListener listener) {
    HostAndPort upstream = HostAndPort.fromString(address);
    Request request =
        (once ? onceClient : client)
            .newRequest(upstream.getHost(), upstream.getPort())
            .scheme("http")
            .method(method)
            .path(pathQuery)
            .idleTimeout(Math.max(1, silenceMillis), TimeUnit.MILLISECONDS)
            .headers(
                fields -> {
                  fields.add(headers);
                  if (once) {
                    fields.put(HttpHeader.CONNECTION, "close");
                  }
                });
    if (body.length > 0) {
      request.body(new BytesRequestContent(headers.get(HttpHeader.CONTENT_TYPE), body));
    }
    return new UpstreamCall(request, listener);
  }
}
