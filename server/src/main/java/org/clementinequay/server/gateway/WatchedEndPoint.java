package org.clementinequay.server.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadPendingException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Connection of a caller that notices its end while a request is in progress. Jetty reads a
 * connection only between requests, so a caller that leaves before the first byte of its answer
 * would otherwise be noticed by the next write, and its upstream would work on in vain. Bytes that
 * arrive meanwhile are kept for the next request.
 */
final class WatchedEndPoint extends SocketChannelEndPoint {
  private static final int PEEK_BYTES = 2048;

  private final Executor executor;
  private final Object lock = new Object();
  private final Callback dispatch = Callback.from(() -> dispatch(null), this::dispatch);
  private Callback reader;
  private boolean registered;
  private Runnable onClose;
  private ByteBuffer kept;
  private volatile boolean busy;

  WatchedEndPoint(
      SocketChannel channel,
      ManagedSelector selector,
      SelectionKey key,
      Scheduler scheduler,
      Executor executor) {
    super(channel, selector, key, scheduler);
    this.executor = executor;
  }

  /** Marks whether a request is in progress. */
  void busy(boolean value) {
    busy = value;
  }

  boolean isBusy() {
    return busy;
  }

  /** Calls the task once if the caller closes the connection. */
  void watch(Runnable task) {
    boolean register;
    synchronized (lock) {
      onClose = task;
      register = !registered && kept == null;
      registered |= register;
    }
    if (register) {
      super.fillInterested(dispatch);
    }
  }

  /** Ends the watch. */
  void unwatch() {
    synchronized (lock) {
      onClose = null;
    }
  }

  @Override
  public void fillInterested(Callback callback) {
    if (!tryFillInterested(callback)) {
      throw new ReadPendingException();
    }
  }

  @Override
  public boolean tryFillInterested(Callback callback) {
    boolean register;
    synchronized (lock) {
      if (reader != null) {
        return false;
      }
      if (kept != null) {
        executor.execute(callback::succeeded);
        return true;
      }
      reader = callback;
      register = !registered;
      registered = true;
    }
    if (register) {
      super.fillInterested(dispatch);
    }
    return true;
  }

  @Override
  public boolean isFillInterested() {
    synchronized (lock) {
      return reader != null;
    }
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    synchronized (lock) {
      if (kept == null) {
        return super.fill(buffer);
      }
      int position = BufferUtil.flipToFill(buffer);
      int count = Math.min(buffer.remaining(), kept.remaining());
      ByteBuffer part = kept.slice().limit(count);
      buffer.put(part);
      kept.position(kept.position() + count);
      BufferUtil.flipToFlush(buffer, position);
      if (!kept.hasRemaining()) {
        kept = null;
      }
      return count;
    }
  }

  /** Passes a change of the connection to its reader, or to the watch if nobody reads. */
  private void dispatch(Throwable failure) {
    Callback next;
    Runnable closed = null;
    boolean again = false;
    synchronized (lock) {
      registered = false;
      next = reader;
      reader = null;
      if (next == null && onClose != null) {
        if (ended(failure)) {
          closed = onClose;
          onClose = null;
        } else {
          again = kept == null;
          registered = again;
        }
      }
    }
    if (next != null && failure != null) {
      next.failed(failure);
    } else if (next != null) {
      next.succeeded();
    } else if (closed != null) {
      closed.run();
    } else if (again) {
      super.fillInterested(dispatch);
    }
  }

  /** Returns whether the caller is gone. A connection that is only idle is not. */
  private boolean ended(Throwable failure) {
    if (failure != null) {
      return !(failure instanceof TimeoutException);
    }
    ByteBuffer buffer = BufferUtil.allocate(PEEK_BYTES);
    try {
      int count = super.fill(buffer);
      if (count > 0) {
        kept = buffer;
      }
      return count < 0;
    } catch (IOException e) {
      return true;
    }
  }
}
