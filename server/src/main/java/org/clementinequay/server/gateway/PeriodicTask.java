package org.clementinequay.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.clementinequay.core.time.RuntimeClock;

/** Daemon thread that repeats a step until the task is closed. */
final class PeriodicTask implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Pause after a step that threw an unexpected exception. */
  static final Duration RETRY_DELAY = Duration.ofMillis(500);

  private final Thread thread;
  private volatile boolean closed;

  /** Step that returns the pause until the next one. */
  interface Step {
    Duration run() throws InterruptedException;
  }

  PeriodicTask(String name, RuntimeClock clock, Step step) {
    thread = new Thread(() -> runUntilClosed(clock, step), name);
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  private void runUntilClosed(RuntimeClock clock, Step step) {
    while (!closed) {
      try {
        Duration pause = RETRY_DELAY;
        try {
          pause = step.run();
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError e) {
          // Without its thread the host would go on serving, but with this task never done again.
          logger.atSevere().withCause(e).log(
              "periodic task %s failed; it continues after a pause",
              Thread.currentThread().getName());
        }
        if (!pause.isZero()) {
          clock.sleep(pause);
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
