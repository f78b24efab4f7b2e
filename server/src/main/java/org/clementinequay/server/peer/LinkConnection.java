package org.clementinequay.server.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.channels.UnresolvedAddressException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The socket of one link. It passes on the frames that arrive and writes those of a bounded queue.
 * All of it runs on the thread of the {@link LinkLoop} except {@link #offer}.
 */
final class LinkConnection implements LinkLoop.Handler {
  private final LinkLoop loop;
  private final PeerSockets sockets;
  private final PeerStatistics statistics;
  private final boolean dialled;
  private final Events events;
  private final SocketChannel socket;
  private final FrameReader reader = new FrameReader();
  private final FrameQueue queue = new FrameQueue();
  private final AtomicBoolean flushRequested = new AtomicBoolean();
  private SelectionKey key;
  private LinkChannel channel;

  /** Receives the events of a connection. */
  interface Events {
    /** Called when the connection is established; the first frame may be queued. */
    void connected() throws IOException;

    /** Returns the maximum length of the next frame's body. */
    int maxFrameBytes();

    /** Called with the body of a frame; returns false if nothing more may be read. */
    boolean received(byte[] body) throws IOException;

    /** Called when the connection has ended or failed; it must be closed then. */
    void broken(Exception cause);
  }

  private LinkConnection(
      LinkLoop loop,
      PeerSockets sockets,
      PeerStatistics statistics,
      boolean dialled,
      SocketChannel socket,
      Events events) {
    this.loop = loop;
    this.sockets = sockets;
    this.statistics = statistics;
    this.dialled = dialled;
    this.socket = socket;
    this.events = events;
  }

  /** Creates the sockets of links, and what all of them share. */
  record Factory(LinkLoop loop, PeerSockets sockets, PeerStatistics statistics) {
    LinkConnection accepted(SocketChannel socket, Events events) {
      return new LinkConnection(loop, sockets, statistics, false, socket, events);
    }

    LinkConnection dialled(Events events) throws IOException {
      return new LinkConnection(loop, sockets, statistics, true, SocketChannel.open(), events);
    }
  }

  /** Connects if an address is given, and otherwise begins on an accepted connection. */
  void open(Optional<InetSocketAddress> target) {
    try {
      socket.configureBlocking(false);
      socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
      if (target.isPresent() && !socket.connect(target.get())) {
        key = loop.register(socket, SelectionKey.OP_CONNECT, this);
      } else {
        key = loop.register(socket, 0, this);
        establish();
      }
    } catch (IOException | UnresolvedAddressException e) {
      events.broken(e);
    }
  }

  private void establish() throws IOException {
    key.interestOps(SelectionKey.OP_READ);
    channel = sockets.open(socket, dialled);
    events.connected();
  }

  @Override
  public void ready() {
    try {
      if (key.isConnectable()) {
        socket.finishConnect();
        establish();
        return;
      }
      if (key.isReadable()) {
        read();
      }
      if (key.isValid() && (key.isWritable() || !queue.isEmpty())) {
        write();
      }
    } catch (IOException e) {
      events.broken(e);
    }
  }

  @Override
  public void failed() {
    events.broken(new IOException("unexpected exception"));
  }

  private void read() throws IOException {
    ByteBuffer bytes = loop.readBuffer();
    if (channel.read(bytes) < 0) {
      throw new IOException("end of the connection");
    }
    bytes.flip();
    Optional<byte[]> body = reader.next(bytes, events.maxFrameBytes());
    while (body.isPresent()) {
      statistics.add(
          PeerStatistics.Counter.BYTES_RECEIVED, FrameCodec.PREFIX_BYTES + body.get().length);
      if (!events.received(body.get())) {
        return;
      }
      body = reader.next(bytes, events.maxFrameBytes());
    }
  }

  /** Queues a frame without blocking; returns false if the queue is full. */
  boolean offer(byte[] frame) {
    if (!queue.offer(frame)) {
      statistics.add(PeerStatistics.Counter.QUEUE_FULL, 1);
      return false;
    }
    if (flushRequested.compareAndSet(false, true)) {
      loop.execute(this::flush);
    }
    return true;
  }

  private void flush() {
    flushRequested.set(false);
    try {
      if (channel != null && key.isValid()) {
        write();
      }
    } catch (IOException e) {
      events.broken(e);
    }
  }

  private void write() throws IOException {
    ByteBuffer bytes = loop.writeBuffer();
    queue.peek(bytes);
    int written = channel.write(bytes.flip());
    queue.remove(written);
    statistics.add(PeerStatistics.Counter.BYTES_SENT, written);
    boolean wantsWrite = channel.wantsWrite(!queue.isEmpty());
    key.interestOps(SelectionKey.OP_READ | (wantsWrite ? SelectionKey.OP_WRITE : 0));
  }

  void close() throws IOException {
    socket.close();
  }
}
