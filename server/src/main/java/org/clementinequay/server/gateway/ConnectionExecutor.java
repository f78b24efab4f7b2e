package org.clementinequay.server.gateway;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Executor of the jobs of one connection that tells when the connection can be collected. A closed
 * connection is still reachable, with the head that it has read, while one of its jobs waits for a
 * thread or runs.
 */
final class ConnectionExecutor implements Executor {
  private final Executor executor;
  private final Runnable onUnreachable;

  /** Jobs that wait or run, and what {@link #release} ends: the channel and its end point. */
  private final AtomicInteger holders = new AtomicInteger(2);

  /**
   * Creates an executor.
   *
   * @param onUnreachable runs whenever no job is left after two calls of {@link #release}
   */
  ConnectionExecutor(Executor executor, Runnable onUnreachable) {
    this.executor = executor;
    this.onUnreachable = onUnreachable;
  }

  @Override
  public void execute(Runnable job) {
    holders.incrementAndGet();
    try {
      executor.execute(() -> runAndRelease(job));
    } catch (RejectedExecutionException e) {
      release();
      throw e;
    }
  }

  /** Runs a job in this thread. */
  void run(Runnable job) {
    holders.incrementAndGet();
    runAndRelease(job);
  }

  private void runAndRelease(Runnable job) {
    try {
      job.run();
    } finally {
      release();
    }
  }

  /** Must be called when the channel is closed, and when Jetty has destroyed its end point. */
  void release() {
    if (holders.decrementAndGet() == 0) {
      onUnreachable.run();
    }
  }
}
