package org.clementinequay.server.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ReadPendingException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import org.clementinequay.core.ingress.IngressBudget;
import org.clementinequay.core.ingress.IngressHolder;
import org.clementinequay.core.ingress.IngressShare;
import org.clementinequay.core.ingress.TurnAway;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Connection of a caller that detects its close while a request is in progress. Jetty reads a
 * connection only between requests, so the close of a connection before the first byte of the
 * response would otherwise be detected only by the next write, and the upstream would go on working
 * for nothing. Bytes that arrive meanwhile are kept for the next request. What the connection holds
 * is taken from the budget of its listener, which may close it.
 */
final class CloseAwareEndPoint extends SocketChannelEndPoint {
  private static final int PEEK_BYTES = 2048;

  /** Time without a request or a byte of one after which a stopping host closes a connection. */
  private static final long QUIET_NANOS = 250_000_000L;

  private final SelectionKey key;
  private final ConnectionExecutor executor;
  private final LingeringCloser closer;
  private final IngressBudget budget;
  private final HeadMeter headMeter = new HeadMeter();
  private final Object lock = new Object();
  private final Callback onFillable = Callback.from(() -> runOnFillable(null), this::runOnFillable);
  private Callback pendingRead;
  private boolean readRegistered;
  private Runnable onClose;
  private ByteBuffer unreadBytes;
  private boolean requestInProgress;
  private boolean handlingBytes;
  private boolean closing;
  private volatile IngressShare share;
  private IngressHolder receiver;
  private int requestCount;
  private boolean quiet;
  private long quietSinceNanos;

  CloseAwareEndPoint(
      SocketChannel channel,
      ManagedSelector selector,
      SelectionKey key,
      Scheduler scheduler,
      Executor executor,
      LingeringCloser closer,
      IngressBudget budget) {
    super(channel, selector, key, scheduler);
    this.key = key;
    this.executor = new ConnectionExecutor(executor, this::closeShare);
    this.closer = closer;
    this.budget = budget;
  }

  @Override
  public void onOpen() {
    share = budget.open(hostOf(getRemoteSocketAddress()), new BudgetHolder());
    super.onOpen();
  }

  private static String hostOf(SocketAddress address) {
    return address instanceof InetSocketAddress inet ? inet.getHostString() : "";
  }

  /** Returns the connection of a request. */
  static CloseAwareEndPoint of(Request request) {
    return (CloseAwareEndPoint) request.getConnectionMetaData().getConnection().getEndPoint();
  }

  /** Returns the executor for all jobs of the connection. */
  Executor executor() {
    return executor;
  }

  /** Returns what the connection holds of the budget. */
  IngressShare share() {
    return share;
  }

  /**
   * Begins a request.
   *
   * @return size of its head in bytes, which is a lower bound if it arrived with an earlier request
   */
  int beginRequest(Request request) {
    int headBytes = RequestHeadSize.minBytes(request);
    synchronized (lock) {
      requestInProgress = true;
      requestCount++;
      headBytes = Math.max(headBytes, headMeter.bytes());
    }
    share.beginRequest(headBytes, request.getHeaders().size());
    return headBytes;
  }

  /** Sets who is told by the budget to go on or to end the request; null for the connection. */
  void setReceiver(IngressHolder value) {
    synchronized (lock) {
      receiver = value;
    }
  }

  /** Returns the number of requests that were begun on this connection. */
  int requestCount() {
    synchronized (lock) {
      return requestCount;
    }
  }

  /** Ends the request in progress. Must be called before Jetty reads the next one. */
  void endRequest() {
    synchronized (lock) {
      requestInProgress = false;
      quiet = false;
      receiver = null;
      headMeter.reset();
    }
    share.endRequest();
  }

  /**
   * Closes the connection if it has been quiet for {@link #QUIET_NANOS}, for a host that stops.
   * Must be called repeatedly: the first call without a request or unhandled bytes begins that
   * time.
   */
  void closeIfQuiet(long nowNanos) {
    synchronized (lock) {
      if (requestInProgress || handlingBytes) {
        return;
      }
      if (!quiet) {
        quiet = true;
        quietSinceNanos = nowNanos;
        return;
      }
      if (nowNanos - quietSinceNanos < QUIET_NANOS) {
        return;
      }
      // From now on nothing is read, so that no request begins while the connection is closed.
      closing = true;
    }
    close();
  }

  /** Runs a task once if the caller closes the connection before {@link #stopWatching}. */
  void watchForClose(Runnable task) {
    boolean registerRead;
    synchronized (lock) {
      onClose = task;
      registerRead = !readRegistered && unreadBytes == null;
      readRegistered |= registerRead;
    }
    if (registerRead) {
      super.fillInterested(onFillable);
    }
  }

  void stopWatching() {
    synchronized (lock) {
      onClose = null;
    }
  }

  /**
   * Returns whether the caller closed the connection, without waiting for the selector. On a host
   * that is behind with its work, a close can be in the receive buffer together with the request.
   */
  boolean isClosedByCaller() {
    synchronized (lock) {
      return pendingRead == null && isClosed(null);
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
    boolean registerRead;
    synchronized (lock) {
      if (pendingRead != null) {
        return false;
      }
      handlingBytes = false;
      if (unreadBytes != null || closing) {
        executor.execute(callback::succeeded);
        return true;
      }
      pendingRead = callback;
      registerRead = !readRegistered;
      readRegistered = true;
    }
    if (registerRead) {
      super.fillInterested(onFillable);
    }
    return true;
  }

  @Override
  public boolean isFillInterested() {
    synchronized (lock) {
      return pendingRead != null;
    }
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    synchronized (lock) {
      if (closing) {
        return -1;
      }
      int count = unreadBytes == null ? super.fill(buffer) : takeUnreadBytes(buffer);
      if (count > 0) {
        handlingBytes = true;
        quiet = false;
        if (!requestInProgress && !takeHead(buffer, count)) {
          closing = true;
          return -1;
        }
      }
      return count;
    }
  }

  /** Takes the newest bytes of a buffer from the budget; returns false if there is no room. */
  private boolean takeHead(ByteBuffer buffer, int count) {
    int bytes = headMeter.bytes();
    int lines = headMeter.lines();
    headMeter.count(buffer, buffer.limit() - count);
    return share.takeHead(headMeter.bytes() - bytes, headMeter.lines() - lines);
  }

  @Override
  public boolean flush(ByteBuffer... buffers) throws IOException {
    long before = remaining(buffers);
    try {
      return super.flush(buffers);
    } finally {
      share.recordProgress(before - remaining(buffers));
    }
  }

  private static long remaining(ByteBuffer... buffers) {
    long sum = 0;
    for (ByteBuffer buffer : buffers) {
      sum += buffer.remaining();
    }
    return sum;
  }

  private int takeUnreadBytes(ByteBuffer buffer) {
    int position = BufferUtil.flipToFill(buffer);
    int count = Math.min(buffer.remaining(), unreadBytes.remaining());
    ByteBuffer part = unreadBytes.slice().limit(count);
    buffer.put(part);
    unreadBytes.position(unreadBytes.position() + count);
    BufferUtil.flipToFlush(buffer, position);
    if (!unreadBytes.hasRemaining()) {
      unreadBytes = null;
    }
    return count;
  }

  @Override
  public void doClose() {
    boolean alreadyRead;
    synchronized (lock) {
      alreadyRead = unreadBytes != null;
    }
    boolean mayLinger = share == null || share.beginClose();
    closer.close(key, alreadyRead, mayLinger, getScheduler(), this::closeChannel);
  }

  private void closeChannel() {
    super.doClose();
    executor.release();
  }

  /** Must be called once Jetty has destroyed this end point; jobs may still wait or run. */
  void onDestroyed() {
    executor.release();
  }

  private void closeShare() {
    if (share != null) {
      share.close();
    }
  }

  private void runOnFillable(Throwable failure) {
    executor.run(() -> onFillable(failure));
  }

  /**
   * Handles a connection that became readable or failed: completes the pending read if there is
   * one, otherwise checks whether the caller closed the connection.
   */
  private void onFillable(Throwable failure) {
    Callback read;
    Runnable closeTask = null;
    boolean keepWatching = false;
    synchronized (lock) {
      readRegistered = false;
      read = pendingRead;
      pendingRead = null;
      if (read == null && onClose != null) {
        if (isClosed(failure)) {
          closeTask = onClose;
          onClose = null;
        } else {
          keepWatching = unreadBytes == null;
          readRegistered = keepWatching;
        }
      }
    }
    if (read != null && failure != null) {
      read.failed(failure);
    } else if (read != null) {
      read.succeeded();
    } else if (closeTask != null) {
      closeTask.run();
    } else if (keepWatching) {
      super.fillInterested(onFillable);
    }
  }

  /**
   * Returns whether the caller closed the connection; an idle timeout does not count as a close.
   */
  private boolean isClosed(Throwable failure) {
    if (failure != null) {
      return !(failure instanceof TimeoutException);
    }
    if (unreadBytes != null) {
      return false;
    }
    ByteBuffer buffer = BufferUtil.allocate(PEEK_BYTES);
    try {
      int count = super.fill(buffer);
      if (count > 0) {
        unreadBytes = buffer;
      }
      return count < 0;
    } catch (IOException e) {
      return true;
    }
  }

  /** Passes what the budget says to the receiver of the request, or else closes the connection. */
  private final class BudgetHolder implements IngressHolder {
    @Override
    public void resume() {
      executor.execute(
          () -> {
            IngressHolder current = currentReceiver();
            if (current != null) {
              current.resume();
            }
          });
    }

    @Override
    public void turnAway(TurnAway limit) {
      executor.execute(
          () -> {
            IngressHolder current = currentReceiver();
            if (!share.isTurnedAway()) {
              // This thread was late, and the request is passed on.
              return;
            }
            if (current == null) {
              close();
            } else {
              current.turnAway(limit);
            }
          });
    }

    private IngressHolder currentReceiver() {
      synchronized (lock) {
        return receiver;
      }
    }
  }
}
