package org.clementinequay.server.peer;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.lease.Lease;
import org.clementinequay.core.lease.LeaseCandidate;
import org.clementinequay.core.lease.LeaseGuard;
import org.clementinequay.core.lease.LeaseStore;
import org.clementinequay.core.lease.LeaseTiming;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Takes and renews the leases that this host is a candidate for, on the thread {@code
 * lease-renewal}, and releases them on a graceful shutdown.
 */
public final class LeaseRenewer implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** A third of the renewal interval, so that a renewal is late by a second at most. */
  private static final Duration STEP_INTERVAL = Duration.ofSeconds(1);

  private final LeaseStore store;
  private final Incarnation self;
  private final Predicate<String> preferred;
  private final RuntimeClock clock;
  private final ConcurrentMap<String, LeaseCandidate> candidates = new ConcurrentHashMap<>();
  private Thread thread;

  /**
   * Creates a renewer without candidacies; {@link #start} starts its thread.
   *
   * @param preferred whether this host should hold a duty, such as {@link
   *     DutyPreference#isPreferred}
   */
  public LeaseRenewer(
      LeaseStore store, Incarnation self, Predicate<String> preferred, RuntimeClock clock) {
    this.store = Objects.requireNonNull(store);
    this.self = Objects.requireNonNull(self);
    this.preferred = Objects.requireNonNull(preferred);
    this.clock = Objects.requireNonNull(clock);
  }

  /** Makes this host a candidate for a duty and returns the guard that its effects must check. */
  public LeaseGuard becomeCandidate(String duty) {
    candidates.computeIfAbsent(
        duty, name -> new LeaseCandidate(store, name, self, LeaseTiming.PRODUCTION, clock));
    return new LeaseGuard(duty, () -> lease(duty), LeaseTiming.PRODUCTION.orderMargin());
  }

  /** Returns the lease of a duty if this host took it; it may have expired. */
  public Optional<Lease> lease(String duty) {
    return Optional.ofNullable(candidates.get(duty)).flatMap(LeaseCandidate::lease);
  }

  /** Ends the candidacy for a duty, for example when its work is done, and releases its lease. */
  public void withdraw(String duty) {
    LeaseCandidate candidate = candidates.remove(duty);
    if (candidate != null) {
      release(duty, candidate);
    }
  }

  /** Starts the thread. */
  public synchronized LeaseRenewer start() {
    thread = DaemonThreads.start("lease-renewal", this::run);
    return this;
  }

  /** Takes or renews each lease where that is due. */
  void step() {
    for (Map.Entry<String, LeaseCandidate> entry : candidates.entrySet()) {
      String duty = entry.getKey();
      boolean heldBefore = entry.getValue().lease().isPresent();
      try {
        entry.getValue().step(preferred.test(duty));
      } catch (PlatformException e) {
        logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).withCause(e).log(
            "cannot renew or take lease %s", duty);
      } catch (RuntimeException e) {
        // A failure of one lease must not stop the renewal of the others.
        logger.atSevere().withCause(e).log(
            "unexpected exception while renewing or taking lease %s", duty);
      }
      boolean heldAfter = entry.getValue().lease().isPresent();
      if (heldBefore != heldAfter) {
        logger.atInfo().log("lease %s %s", duty, heldAfter ? "taken" : "lost");
      }
    }
  }

  /** Stops the thread and releases all leases; the caller must have stopped the duties before. */
  @Override
  public synchronized void close() {
    if (thread != null) {
      thread.interrupt();
    }
    candidates.forEach(this::release);
  }

  private void release(String duty, LeaseCandidate candidate) {
    try {
      candidate.release();
    } catch (PlatformException e) {
      logger.atWarning().withCause(e).log("cannot release lease %s; it will expire", duty);
    }
  }

  private void run() {
    while (!Thread.currentThread().isInterrupted()) {
      step();
      try {
        clock.sleep(STEP_INTERVAL);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
