package org.clementinequay.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.clementinequay.core.time.RuntimeClock;

/** A thread that repeats one step until it is closed. */
final class Duty implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Pause after a step that failed unexpectedly. */
  private static final Duration AFTER_FAILURE = Duration.ofMillis(500);

  private final Thread thread;
  private volatile boolean closed;

  /** One step; returns the pause until the next one. */
  interface Step {
    Duration run() throws InterruptedException;
  }

  Duty(String name, RuntimeClock clock, Step step) {
    thread = new Thread(() -> loop(clock, step), name);
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  private void loop(RuntimeClock clock, Step step) {
    while (!closed) {
      try {
        Duration pause = AFTER_FAILURE;
        try {
          pause = step.run();
        } catch (RuntimeException e) {
          logger.atSevere().withCause(e).log("duty %s failed", Thread.currentThread().getName());
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
