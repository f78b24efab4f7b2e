package org.clementinequay.server.gateway;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.HttpClientTransport;
import org.eclipse.jetty.client.ProxyAuthenticationProtocolHandler;
import org.eclipse.jetty.client.WWWAuthenticationProtocolHandler;

/** HTTP client that leaves challenges for credentials and encodings of bodies to the callers. */
final class ForwardingClient extends HttpClient {
  ForwardingClient(HttpClientTransport transport) {
    super(transport);
  }

  @Override
  protected void doStart() throws Exception {
    super.doStart();
    getProtocolHandlers().remove(WWWAuthenticationProtocolHandler.NAME);
    getProtocolHandlers().remove(ProxyAuthenticationProtocolHandler.NAME);
    getContentDecoderFactories().clear();
  }
}
