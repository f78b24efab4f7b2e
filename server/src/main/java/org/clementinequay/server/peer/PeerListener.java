package org.clementinequay.server.peer;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Accepts the connections of peers on the thread of the {@link LinkLoop}. */
final class PeerListener implements LinkLoop.Handler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int BACKLOG = 512;

  /** Pause after a connection could not be accepted, for instance for lack of descriptors. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  private final LinkLoop loop;
  private final Consumer<SocketChannel> receiver;
  private final ServerSocketChannel channel;
  private SelectionKey key;

  /** Binds the address; connections are accepted after {@link #start}. */
  PeerListener(InetSocketAddress address, LinkLoop loop, Consumer<SocketChannel> receiver)
      throws IOException {
    this.loop = loop;
    this.receiver = receiver;
    this.channel = ServerSocketChannel.open();
    channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    channel.bind(address, BACKLOG);
    channel.configureBlocking(false);
  }

  /** Returns the address that is bound. */
  InetSocketAddress address() {
    return (InetSocketAddress) channel.socket().getLocalSocketAddress();
  }

  void start() {
    try {
      key = loop.register(channel, SelectionKey.OP_ACCEPT, this);
    } catch (IOException e) {
      logger.atSevere().withCause(e).log("cannot accept connections of peers");
    }
  }

  @Override
  public void ready() {
    try {
      SocketChannel socket = channel.accept();
      if (socket != null) {
        receiver.accept(socket);
      }
    } catch (IOException e) {
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).withCause(e).log(
          "cannot accept a connection");
      key.interestOps(0);
      loop.executeAfter(RETRY_DELAY, this::resume);
    }
  }

  private void resume() {
    if (key.isValid()) {
      key.interestOps(SelectionKey.OP_ACCEPT);
    }
  }

  @Override
  public void failed() {
    // The next connection may succeed.
  }

  void close() {
    try {
      channel.close();
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("cannot close the peer listener");
    }
  }
}
