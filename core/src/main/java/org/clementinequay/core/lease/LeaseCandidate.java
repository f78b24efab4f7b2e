package org.clementinequay.core.lease;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.RowWrite;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Acquires, renews and releases the lease of one duty for one process. Two processes never hold it
 * at the same time: the holder measures its validity from a time before it sent a renewal, and a
 * candidate takes over only after it has seen the same row version for the holder's duration plus a
 * margin on its own monotonic clock, by a write that fails if the row changed. Wall clocks are not
 * used.
 *
 * <p>Validity is measured from before the read that precedes the write. An earlier write with the
 * same content whose answer was lost may be applied late, but not before that read, which did not
 * see it. A validity measured from the later write could outlast a candidate's waiting time.
 *
 * <p>One thread calls {@link #step} at least every {@link LeaseTiming#renewalInterval}; any thread
 * may read {@link #lease}.
 */
public final class LeaseCandidate {
  private final LeaseStore store;
  private final String duty;
  private final Incarnation self;
  private final LeaseTiming timing;
  private final RuntimeClock clock;

  private volatile Lease lease;
  private boolean released;
  private long renewedAtNanos;
  private boolean observing;
  private long observedVersion;
  private long observedSinceNanos;

  /** Creates a candidate that does not hold the lease yet. */
  public LeaseCandidate(
      LeaseStore store, String duty, Incarnation self, LeaseTiming timing, RuntimeClock clock) {
    this.store = Objects.requireNonNull(store);
    this.duty = Objects.requireNonNull(duty);
    this.self = Objects.requireNonNull(self);
    this.timing = Objects.requireNonNull(timing);
    this.clock = Objects.requireNonNull(clock);
  }

  /** Returns the lease if this process acquired it; the lease may have expired. */
  public Optional<Lease> lease() {
    return Optional.ofNullable(lease);
  }

  /**
   * Acquires the lease if that is possible, or renews it if a renewal is due.
   *
   * @param preferred whether the rendezvous hash prefers this process for the duty; other
   *     candidates wait longer by {@link LeaseTiming#nonPreferredDelay}, so that candidates rarely
   *     compete
   * @return whether this process holds the lease now
   * @throws PlatformException if the table service did not answer; a lease that is held remains
   *     valid until it expires
   */
  public synchronized boolean step(boolean preferred) throws PlatformException {
    if (released) {
      return false;
    }
    if (lease == null) {
      tryAcquire(preferred);
    } else if (clock.nanoTime() - renewedAtNanos >= timing.renewalInterval().toNanos()) {
      renew();
    }
    return lease != null && !lease.remaining().isZero();
  }

  /**
   * Releases the lease for a graceful shutdown; this candidate does not acquire it again. The
   * caller must have stopped sending orders. If the release fails, the lease expires.
   *
   * @throws PlatformException if the release may not have been written
   */
  public synchronized void release() throws PlatformException {
    released = true;
    lease = null;
    Optional<LeaseStore.StoredLease> stored = store.read(duty);
    if (stored.isPresent() && stored.get().lease().isHeldBy(self)) {
      store.write(duty, stored.get().version(), stored.get().lease().released());
    }
  }

  private void renew() throws PlatformException {
    long validFromNanos = clock.nanoTime();
    Optional<LeaseStore.StoredLease> stored = store.read(duty);
    if (stored.isEmpty()
        || !stored.get().lease().isHeldBy(self)
        || stored.get().lease().fencingNumber() != lease.fencingNumber()) {
      lease = null;
      observing = false;
      return;
    }
    LeaseRecord renewed = stored.get().lease().renewed(timing.duration());
    if (store.write(duty, stored.get().version(), renewed)) {
      lease = lease.renewedUntil(validFromNanos + timing.duration().toNanos());
      renewedAtNanos = validFromNanos;
    }
  }

  private void tryAcquire(boolean preferred) throws PlatformException {
    long validFromNanos = clock.nanoTime();
    Optional<LeaseStore.StoredLease> stored = store.read(duty);
    // The holder wrote the row before this read ended, so its validity ends before the waiting time
    // that starts here.
    long readEndNanos = clock.nanoTime();
    if (stored.isPresent() && stored.get().lease().isHeldBy(self)) {
      // An earlier write of this process was applied although its answer was lost.
      writeAndHold(
          validFromNanos, stored.get().version(), stored.get().lease().renewed(timing.duration()));
      return;
    }
    long version = stored.map(LeaseStore.StoredLease::version).orElse(RowWrite.ABSENT);
    if (!observing || version != observedVersion) {
      observing = true;
      observedVersion = version;
      observedSinceNanos = readEndNanos;
    }
    Duration waitingTime = stored.map(row -> takeOverDelay(row.lease())).orElse(Duration.ZERO);
    if (!preferred) {
      waitingTime = waitingTime.plus(timing.nonPreferredDelay());
    }
    if (readEndNanos - observedSinceNanos >= waitingTime.toNanos()) {
      LeaseRecord current =
          stored
              .map(LeaseStore.StoredLease::lease)
              .orElse(new LeaseRecord(Optional.empty(), 0, timing.duration(), 0));
      writeAndHold(validFromNanos, version, current.takenBy(self, timing.duration()));
    }
  }

  private Duration takeOverDelay(LeaseRecord current) {
    return current.holder().isEmpty()
        ? Duration.ZERO
        : current.duration().plus(timing.takeOverMargin());
  }

  private void writeAndHold(long validFromNanos, long version, LeaseRecord proposed)
      throws PlatformException {
    observing = false;
    if (store.write(duty, version, proposed)) {
      long validUntilNanos = validFromNanos + timing.duration().toNanos();
      lease = new Lease(duty, proposed.fencingNumber(), clock.nanoTime(), validUntilNanos, clock);
      renewedAtNanos = validFromNanos;
    }
  }
}
