package org.clementinequay.core.dispatch;

import java.time.Duration;
import java.util.function.DoubleSupplier;

/**
 * Limits the retries to a service within any sliding time window to a share of the requests in the
 * window plus a constant burst. A token bucket with the same average either forbids the burst of
 * retries that the loss of a failure domain requires, or allows twice as many retries in some
 * windows. Thread-safe.
 */
public final class RetryWindow {
  /** Number of equal slices of the window; requests and retries are counted per slice. */
  private static final int SLICES = 20;

  private final long sliceNanos;
  private final double retriesPerRequest;
  private final DoubleSupplier burst;
  private final long[] requests = new long[2 * SLICES];
  private final long[] retries = new long[SLICES];
  private long currentSlice;

  /**
   * Creates a window.
   *
   * @param length length of the window
   * @param retriesPerRequest number of retries allowed for each request in the window
   * @param burst number of retries allowed in addition, whatever the number of requests
   */
  public RetryWindow(Duration length, double retriesPerRequest, double burst) {
    this(length, retriesPerRequest, () -> burst);
  }

  /**
   * Creates a window whose burst follows the number of hosts that share it.
   *
   * @param burst supplies the number of retries allowed in addition; called for each retry
   */
  public RetryWindow(Duration length, double retriesPerRequest, DoubleSupplier burst) {
    this.sliceNanos = Math.max(1, length.toNanos() / SLICES);
    this.retriesPerRequest = retriesPerRequest;
    this.burst = burst;
  }

  /** Counts a request in the slice of the given time. */
  public synchronized void recordRequest(long nowNanos) {
    advance(nowNanos);
    requests[(int) (currentSlice % requests.length)]++;
  }

  /** Takes one retry; returns false and takes none if the window allows no more. */
  public synchronized boolean tryRetry(long nowNanos) {
    advance(nowNanos);
    long used = sum(retries, SLICES);
    // The limit refers to the current or the previous window, whichever had more requests.
    long recent = sum(requests, SLICES);
    long previous = sum(requests, 2 * SLICES) - recent;
    if (used + 1 > retriesPerRequest * Math.max(recent, previous) + burst.getAsDouble()) {
      return false;
    }
    retries[(int) (currentSlice % SLICES)]++;
    return true;
  }

  private long sum(long[] counts, int slices) {
    long sum = 0;
    for (int i = 0; i < slices; i++) {
      sum += counts[(int) Math.floorMod(currentSlice - i, (long) counts.length)];
    }
    return sum;
  }

  private void advance(long nowNanos) {
    long newSlice = Math.floorDiv(nowNanos, sliceNanos);
    if (currentSlice == 0) {
      currentSlice = newSlice;
    }
    long steps = Math.min(newSlice - currentSlice, requests.length);
    for (long i = 1; i <= steps; i++) {
      requests[(int) Math.floorMod(newSlice - steps + i, (long) requests.length)] = 0;
      retries[(int) Math.floorMod(newSlice - steps + i, (long) SLICES)] = 0;
    }
    currentSlice = Math.max(currentSlice, newSlice);
  }
}
