package org.clementinequay.server.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import org.clementinequay.server.upstream.PlainConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Connects to upstreams and distinguishes a connection reset from an orderly close. Jetty reports
 * both as end of input, so a response without a length would look complete after a reset.
 */
final class ResetAwareConnector extends PlainConnector {
  @Override
  protected SelectorManager newSelectorManager() {
    return new Selectors(getExecutor(), getScheduler(), getSelectors());
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
