package org.clementinequay.server.gateway;

import java.util.concurrent.Executor;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.internal.HttpConnection;

/** Connections of callers, whose jobs run in the executor of their end point. */
final class CallerConnectionFactory extends HttpConnectionFactory {
  CallerConnectionFactory(HttpConfiguration configuration) {
    super(configuration);
  }

  @Override
  public Connection newConnection(Connector connector, EndPoint endPoint) {
    HttpConnection connection =
        new HttpConnection(getHttpConfiguration(), connector, endPoint) {
          @Override
          protected Executor getExecutor() {
            return ((CloseAwareEndPoint) endPoint).executor();
          }

          @Override
          protected RequestHandler newRequestHandler() {
            return new TrailerDropper();
          }

          /** Drops trailer fields, which nothing reads and no budget counts. */
          private final class TrailerDropper extends RequestHandler {
            @Override
            public void parsedTrailer(HttpField trailer) {}
          }
        };
    connection.setTransferEncodingChunkMaxLength(getTransferEncodingChunkMaxLength());
    return configure(connection, connector, endPoint);
  }
}
