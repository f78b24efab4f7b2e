package org.clementinequay.server.control;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.clementinequay.core.lease.Lease;
import org.clementinequay.core.lease.LeaseGuard;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Runs a duty on a thread of its own while this host holds the lease. The lease is renewed on
 * another thread, so that it does not expire during a slow round.
 */
public final class DutyWorker implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration ROUND_INTERVAL = Duration.ofSeconds(1);

  private final LeasedDuty duty;
  private final LeaseGuard guard;
  private final Supplier<Optional<Lease>> lease;
  private final RuntimeClock clock;
  private final Thread thread;

  /**
   * Creates the worker.
   *
   * @param lease returns the lease of the duty if this host took it
   */
  public DutyWorker(
      LeasedDuty duty, LeaseGuard guard, Supplier<Optional<Lease>> lease, RuntimeClock clock) {
    this.duty = duty;
    this.guard = guard;
    this.lease = lease;
    this.clock = clock;
    this.thread = new Thread(this::run, "duty-" + duty.name());
    thread.setDaemon(true);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  private void run() {
    while (!Thread.currentThread().isInterrupted()) {
      try {
        if (lease.get().isPresent()) {
          duty.runOnce(guard);
        }
        clock.sleep(ROUND_INTERVAL);
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("duty %s failed", duty.name());
      }
    }
  }

  /** Stops the thread and waits until it has ended; the lease may be released afterwards. */
  @Override
  public void close() throws InterruptedException {
    thread.interrupt();
    thread.join();
  }
}
