package org.clementinequay.server.upstream;

import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * Connects without TLS. By default Jetty loads the trusted certificates whenever a client starts,
 * which took a fifth of the startup time of a host that has part of a core.
 */
public class PlainConnector extends ClientConnector {
  public PlainConnector() {
    setSslContextFactory(new NoTls());
  }

  private static final class NoTls extends SslContextFactory.Client {
    @Override
    protected void doStart() {
      // Loads no certificates, because no connection of this client uses TLS.
    }
  }
}
