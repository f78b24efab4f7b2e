package org.clementinequay.server.upstream;

import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * Connects without TLS. Jetty otherwise loads the trusted certificates at the start of each client,
 * which took a fifth of the time that a host with part of a core needs to start.
 */
public class PlainConnector extends ClientConnector {
  /** Creates a connector. */
  public PlainConnector() {
    setSslContextFactory(new NoTls());
  }

  private static final class NoTls extends SslContextFactory.Client {
    @Override
    protected void doStart() {
      // Nothing to load: no connection of this client uses TLS.
    }
  }
}
