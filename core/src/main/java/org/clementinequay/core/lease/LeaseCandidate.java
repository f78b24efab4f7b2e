package org.clementinequay.core.lease;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.RowWrite;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Takes, renews and releases the lease of one duty for one process. No two processes hold it at
 * once: the holder counts its validity from before it sent a renewal, and a candidate takes over
 * only after it has seen the same row version for the holder's duration plus a margin on its own
 * monotonic clock, by a write that fails if the row changed. Wall clocks play no part.
 *
 * <p>Validity is counted from before the read that precedes the write. An earlier write with the
 * same content whose answer was lost may be applied late, but not before that read, which did not
 * see it; a validity counted from the later write could outlast a candidate's wait.
 *
 * <p>One thread calls {@link #step} at least every {@link LeaseTiming#renewalInterval}; any thread
 * may read {@link #lease}.
 */
public final class LeaseCandidate {
  private final LeaseStore store;
  private final String duty;
  private final Incarnation self;
  private final LeaseTiming terms;
  private final RuntimeClock clock;

  private volatile Lease lease;
  private boolean released;
  private long renewedAtNanos;
  private boolean watching;
  private long watchedVersion;
  private long watchedSinceNanos;

  /** Creates a candidate that does not hold the lease yet. */
  public LeaseCandidate(
      LeaseStore store, String duty, Incarnation self, LeaseTiming terms, RuntimeClock clock) {
    this.store = Objects.requireNonNull(store);
    this.duty = Objects.requireNonNull(duty);
    this.self = Objects.requireNonNull(self);
    this.terms = Objects.requireNonNull(terms);
    this.clock = Objects.requireNonNull(clock);
  }

  /** Returns the lease if this process took it; its validity may be over. */
  public Optional<Lease> lease() {
    return Optional.ofNullable(lease);
  }

  /**
   * Takes or renews the lease where that is due.
   *
   * @param preferred whether the rendezvous hash prefers this process for the duty; others wait a
   *     little longer, so that candidates rarely race
   * @return whether this process holds the lease now
   * @throws PlatformException if the table service did not answer; a lease that was held remains
   *     valid until its time is over
   */
  public synchronized boolean step(boolean preferred) throws PlatformException {
    if (released) {
      return false;
    }
    if (lease == null) {
      watch(preferred);
    } else if (clock.nanoTime() - renewedAtNanos >= terms.renewalInterval().toNanos()) {
      renew();
    }
    return lease != null && !lease.remaining().isZero();
  }

  /**
   * Gives the lease up for a graceful shutdown; it is not taken again. The caller has stopped
   * sending orders. If the release fails, the lease ends by itself.
   */
  public synchronized void release() throws PlatformException {
    released = true;
    lease = null;
    Optional<LeaseStore.Stored> stored = store.read(duty);
    if (stored.isPresent() && stored.get().lease().isHeldBy(self)) {
      store.write(duty, stored.get().version(), stored.get().lease().released());
    }
  }

  private void renew() throws PlatformException {
    long before = clock.nanoTime();
    Optional<LeaseStore.Stored> stored = store.read(duty);
    if (stored.isEmpty()
        || !stored.get().lease().isHeldBy(self)
        || stored.get().lease().fencingNumber() != lease.fencingNumber()) {
      lease = null;
      watching = false;
      return;
    }
    LeaseRecord renewed = stored.get().lease().renewed(terms.duration());
    if (store.write(duty, stored.get().version(), renewed)) {
      lease = lease.renewedUntil(before + terms.duration().toNanos());
      renewedAtNanos = before;
    }
  }

  private void watch(boolean preferred) throws PlatformException {
    long before = clock.nanoTime();
    Optional<LeaseStore.Stored> stored = store.read(duty);
    // After the read: the holder's last write came before, hence its validity ends before ours.
    long seenAt = clock.nanoTime();
    if (stored.isPresent() && stored.get().lease().isHeldBy(self)) {
      // An earlier write of this process arrived although its answer was lost.
      write(before, stored.get().version(), stored.get().lease().renewed(terms.duration()));
      return;
    }
    long version = stored.map(LeaseStore.Stored::version).orElse(RowWrite.ABSENT);
    if (!watching || version != watchedVersion) {
      watching = true;
      watchedVersion = version;
      watchedSinceNanos = seenAt;
    }
    Duration wait = stored.map(found -> wait(found.lease())).orElse(Duration.ZERO);
    if (!preferred) {
      wait = wait.plus(terms.nonPreferredDelay());
    }
    if (seenAt - watchedSinceNanos >= wait.toNanos()) {
      LeaseRecord current =
          stored
              .map(LeaseStore.Stored::lease)
              .orElse(new LeaseRecord(Optional.empty(), 0, terms.duration(), 0));
      write(before, version, current.takenBy(self, terms.duration()));
    }
  }

  private Duration wait(LeaseRecord current) {
    return current.holder().isEmpty()
        ? Duration.ZERO
        : current.duration().plus(terms.takeOverMargin());
  }

  private void write(long before, long version, LeaseRecord proposed) throws PlatformException {
    watching = false;
    if (store.write(duty, version, proposed)) {
      long validUntil = before + terms.duration().toNanos();
      lease = new Lease(duty, proposed.fencingNumber(), clock.nanoTime(), validUntil, clock);
      renewedAtNanos = before;
    }
  }
}
