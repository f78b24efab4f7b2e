package org.clementinequay.server.peer;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.clementinequay.core.time.RuntimeClock;

/**
 * The thread {@code peer-links}, which serves the sockets of all links and their timers. Everything
 * that concerns a link runs on it and must not block.
 */
final class LinkLoop {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Size of the buffers through which the bytes of all links pass; several TLS records. */
  private static final int BUFFER_BYTES = 64 << 10;

  /** Longest wait without timers, in milliseconds. */
  private static final long MAX_WAIT_MILLIS = 10_000;

  /** Pause after the selector failed, in milliseconds. */
  private static final long RETRY_MILLIS = 100;

  /** Time in which {@link #close} waits for the thread to end, in milliseconds. */
  private static final long CLOSE_MILLIS = 1000;

  private final RuntimeClock clock;
  private final Selector selector;
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final List<Timer> timers = new ArrayList<>();
  private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
  private final ByteBuffer writeBuffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
  private volatile Thread thread;
  private volatile boolean closed;

  /** Receives the events of a channel. */
  interface Handler {
    /** Called when the channel is ready for an operation of its interest set. */
    void ready();

    /** Called after {@link #ready} threw an unexpected exception. */
    void failed();
  }

  /**
   * A task that waits for its time.
   *
   * @param interval time until it is repeated; empty if it is not
   */
  private record Timer(long dueNanos, Optional<Duration> interval, Runnable task) {}

  LinkLoop(RuntimeClock clock) throws IOException {
    this.clock = clock;
    this.selector = Selector.open();
  }

  /** Repeats a task, the first time at the start; timers are added before the start. */
  void repeat(Duration interval, Runnable task) {
    timers.add(new Timer(clock.nanoTime(), Optional.of(interval), task));
  }

  /** Runs a task later; called on the thread of the loop. */
  void executeAfter(Duration delay, Runnable task) {
    timers.add(new Timer(clock.nanoTime() + delay.toNanos(), Optional.empty(), task));
  }

  void start() {
    thread = DaemonThreads.start("peer-links", this::run);
  }

  /** Runs a task on the thread of the loop. */
  void execute(Runnable task) {
    tasks.add(task);
    if (Thread.currentThread() != thread) {
      selector.wakeup();
    }
  }

  /** Registers a non-blocking channel. */
  SelectionKey register(SelectableChannel channel, int operations, Handler handler)
      throws IOException {
    return channel.register(selector, operations, handler);
  }

  /** Returns the empty buffer for reading; valid until the handler returns. */
  ByteBuffer readBuffer() {
    return readBuffer.clear();
  }

  /** Returns the empty buffer for writing; valid until the handler returns. */
  ByteBuffer writeBuffer() {
    return writeBuffer.clear();
  }

  /** Runs the tasks that were added before, closes the sockets' selector and ends the thread. */
  void close() {
    closed = true;
    Thread current = thread;
    if (current == null) {
      runTasks();
      closeSelector();
      return;
    }
    selector.wakeup();
    if (current != Thread.currentThread()) {
      try {
        current.join(CLOSE_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void run() {
    while (!closed) {
      try {
        selector.select(LinkLoop::dispatch, waitMillis());
      } catch (IOException e) {
        logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).withCause(e).log("cannot select");
        pause();
      }
      runTimers();
      runTasks();
    }
    runTasks();
    closeSelector();
  }

  private long waitMillis() {
    if (!tasks.isEmpty()) {
      return 1;
    }
    long now = clock.nanoTime();
    long wait = MAX_WAIT_MILLIS;
    for (Timer timer : timers) {
      wait = Math.min(wait, TimeUnit.NANOSECONDS.toMillis(timer.dueNanos() - now) + 1);
    }
    return Math.max(1, wait);
  }

  private static void dispatch(SelectionKey key) {
    Handler handler = (Handler) key.attachment();
    try {
      handler.ready();
    } catch (CancelledKeyException e) {
      logger.atFine().log("a connection was closed while it became ready");
    } catch (RuntimeException | StackOverflowError | OutOfMemoryError e) {
      // If the thread ended, the host would have no links until it restarts.
      logger.atSevere().withCause(e).log("unexpected exception on a peer connection");
      handler.failed();
    }
  }

  private void runTimers() {
    for (Timer timer : List.copyOf(timers)) {
      if (clock.nanoTime() - timer.dueNanos() >= 0) {
        timers.remove(timer);
        runSafely(timer.task());
        timer.interval().ifPresent(interval -> repeatAfter(interval, timer.task()));
      }
    }
  }

  private void repeatAfter(Duration interval, Runnable task) {
    timers.add(new Timer(clock.nanoTime() + interval.toNanos(), Optional.of(interval), task));
  }

  private void runTasks() {
    for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
      runSafely(task);
    }
  }

  private static void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | StackOverflowError | OutOfMemoryError e) {
      logger.atSevere().withCause(e).log("unexpected exception in the peer thread");
    }
  }

  private void pause() {
    try {
      clock.sleep(Duration.ofMillis(RETRY_MILLIS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void closeSelector() {
    try {
      selector.close();
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("cannot close the selector");
    }
  }
}
