package org.clementinequay.server.upstream;

import java.io.IOException;
import java.util.Map;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnectionFactory;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/**
 * HTTP/1.1 transport that bounds the bytes of a response that are not content. Jetty 12.1.13 bounds
 * a single head, but neither the number of informational responses, for each of which it queues
 * tasks, nor chunk extensions, nor what follows a complete response.
 */
public final class BoundedHttpTransport extends HttpClientTransportOverHTTP {
  private final ClientConnectionFactory connections = new Connections();

  public BoundedHttpTransport(ClientConnector connector) {
    super(connector);
  }

  @Override
  public Connection newConnection(EndPoint endPoint, Map<String, Object> context)
      throws IOException {
    return connections.newConnection(endPoint, context);
  }

  private static final class Connections implements ClientConnectionFactory {
    @Override
    public Connection newConnection(EndPoint endPoint, Map<String, Object> context) {
      return customize(new BoundedHttpConnection(endPoint, context), context);
    }
  }
}
