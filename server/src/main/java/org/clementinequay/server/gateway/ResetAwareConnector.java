package org.clementinequay.server.gateway;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.clementinequay.server.upstream.PlainConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Connects to upstreams within the limit of the host, and distinguishes a connection reset from an
 * orderly close. Jetty reports both as end of input, so a response without a length would look
 * complete after a reset.
 */
final class ResetAwareConnector extends PlainConnector {
  private static final long WAIT_POLL_MILLIS = 5;

  private final ConnectionLimit limit;
  private volatile Selectors selectors;

  ResetAwareConnector(ConnectionLimit limit) {
    this.limit = limit;
  }

  @Override
  protected SelectorManager newSelectorManager() {
    selectors = new Selectors(getExecutor(), getScheduler(), getSelectors());
    return selectors;
  }

  @Override
  public void connect(SocketAddress address, Map<String, Object> context) {
    if (limit.connect(() -> super.connect(address, context))) {
      scheduleWaiting();
    }
  }

  @Override
  protected void configure(SelectableChannel channel) throws IOException {
    super.configure(channel);
    limit.opened((SocketChannel) channel);
  }

  private void scheduleWaiting() {
    getScheduler().schedule(this::connectWaiting, WAIT_POLL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void connectWaiting() {
    if (limit.connectWaiting() && isRunning()) {
      // A selector removes the registrations of closed channels when it selects.
      selectors.getBeans(ManagedSelector.class).forEach(one -> one.submit(selector -> {}));
      scheduleWaiting();
    }
  }

  private final class Selectors extends ClientSelectorManager {
    private Selectors(Executor executor, Scheduler scheduler, int selectors) {
      super(executor, scheduler, selectors);
    }

    @Override
    protected EndPoint newEndPoint(
        SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
      EndPoint endPoint =
          new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
      endPoint.setIdleTimeout(getIdleTimeout().toMillis());
      return endPoint;
    }
  }

  private static final class ResetAwareEndPoint extends SocketChannelEndPoint {
    private ResetAwareEndPoint(
        SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
      super(channel, selector, key, scheduler);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
      if (isInputShutdown()) {
        return -1;
      }
      int position = BufferUtil.flipToFill(buffer);
      try {
        int count = getChannel().read(buffer);
        if (count > 0) {
          notIdle();
        } else if (count < 0) {
          shutdownInput();
        }
        return count;
      } catch (IOException e) {
        shutdownInput();
        throw e;
      } finally {
        BufferUtil.flipToFlush(buffer, position);
      }
    }
  }
}
