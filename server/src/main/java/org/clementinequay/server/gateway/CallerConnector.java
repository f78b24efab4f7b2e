package org.clementinequay.server.gateway;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/** Listener for callers, with connections that detect when the caller closes them. */
public final class CallerConnector extends ServerConnector {
  private final LingeringCloser closer = new LingeringCloser();

  public CallerConnector(Server server, HttpConnectionFactory factory) {
    super(server, null, null, null, 0, 1, factory);
  }

  @Override
  protected SocketChannelEndPoint newEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key) {
    SocketChannelEndPoint endPoint =
        new CloseAwareEndPoint(channel, selector, key, getScheduler(), getExecutor(), closer);
    endPoint.setIdleTimeout(getIdleTimeout());
    return endPoint;
  }

  /** Leaves callers time to close their connections first, from now on. */
  void startDraining() {
    closer.lingerAlways();
  }

  /** Returns whether a connection is open. */
  boolean hasConnections() {
    return !getConnectedEndPoints().isEmpty() || closer.pending() > 0;
  }

  /** Closes the connections without a request in progress, see {@link CloseAwareEndPoint}. */
  void closeQuiet(long nowNanos) {
    for (EndPoint endPoint : getConnectedEndPoints()) {
      if (endPoint instanceof CloseAwareEndPoint closeAware) {
        closeAware.closeIfQuiet(nowNanos);
      }
    }
  }
}
