package org.clementinequay.server.gateway;

import java.io.IOException;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import org.clementinequay.core.ingress.IngressBudget;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/** Listener for callers, with connections that detect when the caller closes them. */
public final class CallerConnector extends ServerConnector {
  private final LingeringCloser closer = new LingeringCloser();

  private static final long ACCEPT_POLL_MILLIS = 5;

  private final IngressBudget budget;
  private final OpenChannels channels = new OpenChannels();

  public CallerConnector(Server server, CallerConnectionFactory factory, IngressBudget budget) {
    super(server, null, null, null, 1, 1, factory);
    this.budget = budget;
  }

  @Override
  protected void configure(Socket socket) {
    super.configure(socket);
    channels.add(socket.getChannel());
  }

  /** Accepts a connection once few enough are open; those that are being closed count. */
  @Override
  public void accept(int acceptorId) throws IOException {
    while (isOpen() && !channels.areFewerThan(budget.maxConnections())) {
      try {
        TimeUnit.MILLISECONDS.sleep(ACCEPT_POLL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
    super.accept(acceptorId);
  }

  @Override
  protected SocketChannelEndPoint newEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key) {
    SocketChannelEndPoint endPoint =
        new CloseAwareEndPoint(
            channel, selector, key, getScheduler(), getExecutor(), closer, budget);
    endPoint.setIdleTimeout(getIdleTimeout());
    return endPoint;
  }

  @Override
  protected void onEndPointClosed(EndPoint endPoint) {
    super.onEndPointClosed(endPoint);
    ((CloseAwareEndPoint) endPoint).onDestroyed();
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
