package org.clementinequay.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Steps that share a thread. Each is run when its pause is over; steps that are due at the same
 * time cost one wake-up. A step that fails delays only itself.
 */
final class StepGroup implements PeriodicTask.Step {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final RuntimeClock clock;
  private final List<Entry> entries = new ArrayList<>();

  private static final class Entry {
    private final PeriodicTask.Step step;
    private long dueNanos;

    private Entry(PeriodicTask.Step step, long dueNanos) {
      this.step = step;
      this.dueNanos = dueNanos;
    }
  }

  StepGroup(RuntimeClock clock, PeriodicTask.Step... steps) {
    this.clock = clock;
    for (PeriodicTask.Step step : steps) {
      entries.add(new Entry(step, clock.nanoTime()));
    }
  }

  @Override
  public Duration run() throws InterruptedException {
    long wait = Long.MAX_VALUE;
    for (Entry entry : entries) {
      if (clock.nanoTime() - entry.dueNanos >= 0) {
        Duration pause = runSafely(entry.step);
        entry.dueNanos = clock.nanoTime() + pause.toNanos();
      }
    }
    long now = clock.nanoTime();
    for (Entry entry : entries) {
      wait = Math.min(wait, Math.max(0, entry.dueNanos - now));
    }
    return Duration.ofNanos(wait);
  }

  private static Duration runSafely(PeriodicTask.Step step) throws InterruptedException {
    try {
      return step.run();
    } catch (RuntimeException | StackOverflowError | OutOfMemoryError e) {
      logger.atSevere().withCause(e).log(
          "a step of %s failed; it continues after a pause", Thread.currentThread().getName());
      return PeriodicTask.RETRY_DELAY;
    }
  }
}
