package org.clementinequay.core.spread;

import java.time.Duration;

/**
 * Decides when a host reads a table of the platform's store itself. A reader ({@link StoreReaders})
 * reads at an interval and tells its peers what it found. Another host reads only if a reader has
 * announced more than it knows, or if what it knows was not confirmed for a bounded time, because
 * the readers are frozen, cut off or refused by the store. Reads that fail are repeated after a
 * growing pause, so that hundreds of hosts do not press a store that is down. Thread-safe.
 */
public final class ReadSchedule {
  /** Pause after the first failed read, in nanoseconds; doubled with each further one. */
  static final long INITIAL_BACK_OFF_NANOS = 150_000_000L;

  /** Longest pause, in nanoseconds; a store that is back is noticed within this time. */
  static final long MAX_BACK_OFF_NANOS = 1_000_000_000L;

  private final long readerIntervalNanos;
  private final long maxAgeNanos;
  private boolean hasRead;
  private boolean behind;
  private long lastReadNanos;
  private long confirmedNanos;
  private long backOffNanos;
  private long retryAtNanos;

  /**
   * Creates a schedule.
   *
   * @param readerInterval time between two reads of a reader
   * @param maxAge time after which a host reads itself unless a reader confirmed what it knows
   */
  public ReadSchedule(Duration readerInterval, Duration maxAge) {
    this.readerIntervalNanos = readerInterval.toNanos();
    this.maxAgeNanos = maxAge.toNanos();
  }

  /**
   * Records that this host read the table itself.
   *
   * @param readNanos time at which the rows were current, or an earlier one
   */
  public synchronized void recordRead(long readNanos) {
    hasRead = true;
    behind = false;
    lastReadNanos = readNanos;
    confirmedNanos = readNanos;
    backOffNanos = 0;
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
   */
  public synchronized void recordConfirmation(long readNanos) {
    if (readNanos - confirmedNanos > 0) {
      confirmedNanos = readNanos;
    }
    behind = false;
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
    long untilReaderRead = lastReadNanos + readerIntervalNanos - nowNanos;
    long untilDue = reader ? Math.min(untilStale, untilReaderRead) : untilStale;
    return Math.max(untilRetry, Math.max(0, untilDue));
  }
}
