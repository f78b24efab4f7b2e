package org.clementinequay.server.gateway;

import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;

/**
 * Bounds the connections to all upstreams, so that their descriptors are left to them whatever
 * callers do. Beyond the limit idle connections are closed, and new ones wait in the order of their
 * requests. Thread-safe.
 */
final class ConnectionLimit {
  private final int maxConnections;
  private final OpenChannels channels = new OpenChannels();
  private final List<BooleanSupplier> idleClosers = new CopyOnWriteArrayList<>();
  private final Queue<Runnable> waiting = new ArrayDeque<>();
  private int starting;

  ConnectionLimit(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  /** Adds a function that closes an idle connection, or returns false if there is none. */
  void addIdleCloser(BooleanSupplier closeIdle) {
    idleClosers.add(closeIdle);
  }

  /** Records a channel that a connect has opened. */
  void opened(SocketChannel channel) {
    channels.add(channel);
  }

  /**
   * Connects, now or by a later call of {@link #connectWaiting}.
   *
   * @return whether the caller must call {@link #connectWaiting} until it returns false
   */
  boolean connect(Runnable connect) {
    boolean isFirst;
    synchronized (this) {
      isFirst = waiting.isEmpty();
      if (!isFirst || !takePlace()) {
        waiting.add(connect);
        return isFirst;
      }
    }
    connectInPlace(connect);
    return false;
  }

  /**
   * Connects those who wait, as far as connections have closed, and closes an idle connection if
   * there is no room.
   *
   * @return whether others still wait
   */
  boolean connectWaiting() {
    while (true) {
      Runnable next;
      synchronized (this) {
        if (waiting.isEmpty()) {
          return false;
        }
        next = takePlace() ? waiting.remove() : null;
      }
      if (next == null) {
        closeIdle();
        return true;
      }
      connectInPlace(next);
    }
  }

  /** Returns the number of connections that wait for others to close. */
  synchronized int waiting() {
    return waiting.size();
  }

  private void closeIdle() {
    for (BooleanSupplier closer : idleClosers) {
      if (closer.getAsBoolean()) {
        return;
      }
    }
  }

  private synchronized boolean takePlace() {
    boolean hasRoom = channels.areFewerThan(maxConnections - starting);
    starting += hasRoom ? 1 : 0;
    return hasRoom;
  }

  private void connectInPlace(Runnable connect) {
    try {
      connect.run();
    } finally {
      synchronized (this) {
        starting--;
      }
    }
  }
}
