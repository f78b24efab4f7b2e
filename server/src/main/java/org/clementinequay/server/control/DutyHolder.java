package org.clementinequay.server.control;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.lease.LeaseCandidate;
import org.clementinequay.core.lease.LeaseGuard;
import org.clementinequay.core.lease.LeaseStore;
import org.clementinequay.core.lease.LeaseTerms;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.TableService;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Competes for the lease of one duty and performs the duty while it holds the lease. Renewal and
 * work have a thread each, so that slow work does not end the lease.
 */
public final class DutyHolder implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final LeasedDuty duty;
  private final LeaseCandidate candidate;
  private final LeaseGuard guard;
  private final BooleanSupplier preferred;
  private final RuntimeClock clock;
  private final LeaseTerms terms;
  private final Thread renewal;
  private final Thread worker;
  private volatile boolean held;

  /**
   * Creates the holder.
   *
   * @param preferred whether the rendezvous hash prefers this host for the duty
   */
  public DutyHolder(
      LeasedDuty duty,
      TableService table,
      Incarnation self,
      BooleanSupplier preferred,
      LeaseTerms terms,
      RuntimeClock clock) {
    this.duty = duty;
    this.preferred = preferred;
    this.clock = clock;
    this.terms = terms;
    this.candidate = new LeaseCandidate(new LeaseStore(table), duty.name(), self, terms, clock);
    this.guard = new LeaseGuard(duty.name(), candidate::lease, terms.orderMargin());
    this.renewal = thread("lease-renewal", this::renew);
    this.worker = thread("lease-work", this::work);
  }

  private Thread thread(String kind, Runnable run) {
    Thread thread = new Thread(run, kind + "-" + duty.name());
    thread.setDaemon(true);
    return thread;
  }

  /** Starts both threads. */
  public void start() {
    renewal.start();
    worker.start();
  }

  /** Returns whether the lease was held when it was last looked at. */
  public boolean held() {
    return held;
  }

  private void renew() {
    while (!Thread.currentThread().isInterrupted()) {
      try {
        boolean now = candidate.step(preferred.getAsBoolean());
        if (now != held) {
          logger.atInfo().log("lease %s %s", duty.name(), now ? "taken" : "lost");
        }
        held = now;
      } catch (PlatformException e) {
        held = candidate.lease().map(lease -> !lease.remaining().isZero()).orElse(false);
        logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
            "lease %s cannot be renewed: %s", duty.name(), e.getMessage());
      }
      if (!pause()) {
        return;
      }
    }
  }

  private void work() {
    while (!Thread.currentThread().isInterrupted()) {
      if (held) {
        try {
          duty.work(guard);
        } catch (InterruptedException e) {
          return;
        } catch (RuntimeException e) {
          logger.atSevere().withCause(e).log("duty %s failed", duty.name());
        }
      }
      if (!pause()) {
        return;
      }
    }
  }

  private boolean pause() {
    try {
      clock.sleep(terms.renewEvery().dividedBy(3));
      return true;
    } catch (InterruptedException e) {
      return false;
    }
  }

  /** Stops the work and gives the lease up. */
  @Override
  public void close() throws InterruptedException {
    worker.interrupt();
    renewal.interrupt();
    worker.join();
    renewal.join();
    held = false;
    try {
      candidate.release();
    } catch (PlatformException e) {
      logger.atWarning().log("lease %s is not released, it will expire", duty.name());
    }
  }
}
