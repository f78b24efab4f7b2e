package org.clementinequay.core.spread;

/**
 * Translates times of the store's steady clock into times of this host, so that what a peer read
 * from the store is dated by the read and not by the arrival of the message. Times are never
 * translated to later ones than they were. Thread-safe.
 */
public final class StoreClock {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private boolean known;
  private long offsetNanos;

  /**
   * Records an answer of the store.
   *
   * @param storeMillis time of the answer by the store's clock; not positive if it stated none
   * @param requestNanos time by the clock of this host before which the answer was not made
   */
  public synchronized void observe(long storeMillis, long requestNanos) {
    if (storeMillis > 0) {
      known = true;
      offsetNanos = requestNanos - storeMillis * NANOS_PER_MILLI;
    }
  }

  /**
   * Returns the time of an answer by the clock of this host, or a slightly earlier one; now if it
   * cannot be told.
   */
  public synchronized long toHostNanos(long storeMillis, long nowNanos) {
    if (!known || storeMillis <= 0) {
      return nowNanos;
    }
    long hostNanos = storeMillis * NANOS_PER_MILLI + offsetNanos;
    return hostNanos - nowNanos < 0 ? hostNanos : nowNanos;
  }
}
