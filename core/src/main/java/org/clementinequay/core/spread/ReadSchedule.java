package org.clementinequay.core.spread;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Decides when a host reads a table of the platform's store itself. Of all readers ({@link
 * StoreReaders}) the one that made the newest read leads: it reads at an interval and tells its
 * peers what it found. The other readers stand by and read as soon as its next read is missing, so
 * that the calls do not grow with the failure domains either. Another host reads only if a reader
 * has announced more than it knows, or if what it knows was not confirmed for a bounded time,
 * because the readers are frozen, cut off or refused by the store. Reads that fail are repeated
 * after a growing pause, so that hundreds of hosts do not press a store that is down. Thread-safe.
 */
public final class ReadSchedule {
  /** Pause after the first failed read, in nanoseconds; doubled with each further one. */
  static final long INITIAL_BACK_OFF_NANOS = 150_000_000L;

  /** Longest pause, in nanoseconds; a store that is back is noticed within this time. */
  static final long MAX_BACK_OFF_NANOS = 1_000_000_000L;

  private final long readerIntervalNanos;
  private final long standbyNanos;
  private final RandomGenerator random;
  private final long maxAgeNanos;
  private boolean hasRead;
  private boolean behind;
  private boolean leading;
  private long lastReadNanos;
  private long confirmedNanos;
  private long standbyDelayNanos;
  private long backOffNanos;
  private long retryAtNanos;

  /**
   * Creates a schedule.
   *
   * @param readerInterval time between two reads of the leading reader
   * @param standby time without a confirmation after which another reader reads; up to half of the
   *     time that is then left until {@code maxAge} is added, so that one of several comes first
   * @param maxAge time after which a host reads itself unless a reader confirmed what it knows
   * @param random source of what is added
   */
  public ReadSchedule(
      Duration readerInterval, Duration standby, Duration maxAge, RandomGenerator random) {
    this.readerIntervalNanos = readerInterval.toNanos();
    this.standbyNanos = standby.toNanos();
    this.random = random;
    this.maxAgeNanos = maxAge.toNanos();
  }

  /**
   * Records that this host read the table itself.
   *
   * @param readNanos time at which the rows were current, or an earlier one
   */
  public synchronized void recordRead(long readNanos) {
    leading = !hasRead || readNanos - confirmedNanos >= 0;
    standbyDelayNanos = nextStandbyDelay();
    hasRead = true;
    behind = false;
    lastReadNanos = readNanos;
    confirmedNanos = leading ? readNanos : confirmedNanos;
    backOffNanos = 0;
  }

  /** Records that another reader goes on reading, although the newest read is of this host. */
  public synchronized void yieldLead() {
    leading = false;
    standbyDelayNanos = nextStandbyDelay();
  }

  private long nextStandbyDelay() {
    return standbyNanos + (long) (random.nextDouble() * (maxAgeNanos - standbyNanos) / 2);
  }

  /** Returns whether the newest read that this host knows of is its own. */
  public synchronized boolean leads() {
    return leading;
  }

  /** Records that this host could not read the table. */
  public synchronized void recordFailure(long nowNanos) {
    backOffNanos =
        backOffNanos == 0 ? INITIAL_BACK_OFF_NANOS : Math.min(MAX_BACK_OFF_NANOS, 2 * backOffNanos);
    retryAtNanos = nowNanos + backOffNanos;
  }

  /**
   * Records that a reader confirmed what this host knows.
   *
   * @param readNanos time of the read by the clock of this host
   * @return whether the read is newer than those that were known
   */
  public synchronized boolean recordConfirmation(long readNanos) {
    boolean newer = readNanos - confirmedNanos > 0;
    if (newer) {
      confirmedNanos = readNanos;
      leading = false;
      standbyDelayNanos = nextStandbyDelay();
    }
    behind = false;
    return newer;
  }

  /** Records that a reader announced something that this host does not know. */
  public synchronized void recordBehind() {
    behind = true;
  }

  /** Returns the time until the next own read in nanoseconds; 0 if it is due. */
  public synchronized long nanosUntilRead(boolean reader, long nowNanos) {
    long untilRetry = backOffNanos == 0 ? 0 : Math.max(0, retryAtNanos - nowNanos);
    if (!hasRead || behind) {
      return untilRetry;
    }
    long untilStale = confirmedNanos + maxAgeNanos - nowNanos;
    long untilReaderRead =
        leading
            ? lastReadNanos + readerIntervalNanos - nowNanos
            : confirmedNanos + standbyDelayNanos - nowNanos;
    long untilDue = reader ? Math.min(untilStale, untilReaderRead) : untilStale;
    return Math.max(untilRetry, Math.max(0, untilDue));
  }
}
