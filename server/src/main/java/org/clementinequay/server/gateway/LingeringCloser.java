package org.clementinequay.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Closes connections in two steps: first the output, and the rest once the caller has closed or
 * {@link #LINGER_MILLIS} have passed. A connection that is closed with unread bytes is reset, and
 * the reset can overtake the end of the last response; so what the caller sends is read and
 * dropped.
 */
final class LingeringCloser {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int LINGER_MILLIS = 250;
  private static final int POLL_MILLIS = 25;

  /** Number of connections that linger at a time, unless the host stops. */
  private static final int MAX_PENDING = 64;

  private static final int BUFFER_BYTES = 8 * 1024;

  /** Number of buffers that are read at a time, so that no caller keeps a thread busy. */
  private static final int MAX_BUFFERS = 16;

  private final AtomicInteger pending = new AtomicInteger();
  private volatile boolean lingersAlways;

  /**
   * Also lingers where no bytes are unread yet, from now on: the caller of a host that stops may be
   * about to use its connection again.
   */
  void lingerAlways() {
    lingersAlways = true;
  }

  /** Returns the number of connections that are not closed yet. */
  int pending() {
    return pending.get();
  }

  /**
   * Closes a connection, now or later.
   *
   * @param key registration of the channel of the connection
   * @param alreadyRead whether bytes of the caller were read that belong to no answered request
   * @param mayLinger whether there is room for what the connection holds, unless the host stops
   * @param close closes the channel
   */
  void close(
      SelectionKey key,
      boolean alreadyRead,
      boolean mayLinger,
      Scheduler scheduler,
      Runnable close) {
    SocketChannel channel = (SocketChannel) key.channel();
    Input input = drop(channel);
    boolean lingers =
        lingersAlways
            || (mayLinger
                && pending.get() < MAX_PENDING
                && (alreadyRead || input == Input.DROPPED));
    if (input == Input.ENDED || !lingers) {
      close.run();
      return;
    }
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      logger.atFine().withCause(e).log("the caller has reset the connection");
      close.run();
      return;
    }
    pending.incrementAndGet();
    poll(key, LINGER_MILLIS / POLL_MILLIS, scheduler, close);
  }

  private void poll(SelectionKey key, int polls, Scheduler scheduler, Runnable close) {
    scheduler.schedule(
        () -> {
          if (polls > 0 && drop((SocketChannel) key.channel()) != Input.ENDED) {
            poll(key, polls - 1, scheduler, close);
            return;
          }
          close.run();
          // The descriptor of a registered channel is freed by the next selection only. Without a
          // delay, Jetty wakes the selector itself.
          key.selector().wakeup();
          pending.decrementAndGet();
        },
        POLL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private enum Input {
    EMPTY,
    DROPPED,
    ENDED
  }

  /** Reads and drops what has arrived. */
  private static Input drop(SocketChannel channel) {
    ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
    try {
      int count = channel.read(buffer);
      Input input = count > 0 ? Input.DROPPED : Input.EMPTY;
      for (int i = 1; count > 0 && i < MAX_BUFFERS; i++) {
        count = channel.read(buffer.clear());
      }
      return count < 0 ? Input.ENDED : input;
    } catch (IOException e) {
      logger.atFine().withCause(e).log("the caller has reset the connection");
      return Input.ENDED;
    }
  }
}
