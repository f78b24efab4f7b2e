package org.clementinequay.core.dispatch;

import java.time.Duration;

/**
 * Bounds the repeats to a service within any sliding window: a share of the requests of the window
 * plus a constant. A token bucket with the same mean either forbids the burst of repeats that the
 * loss of a failure domain calls for, or allows twice as many in some window. Thread-safe.
 */
public final class RetryWindow {
  /** Parts of the window that are counted together. */
  private static final int SLICES = 20;

  private final long sliceNanos;
  private final double repeatsPerRequest;
  private final double constant;
  private final long[] requests = new long[2 * SLICES];
  private final long[] repeats = new long[SLICES];
  private long slice;

  /**
   * Creates a window.
   *
   * @param length length of the window
   * @param repeatsPerRequest repeats allowed for each request of the window
   * @param constant repeats allowed besides
   */
  public RetryWindow(Duration length, double repeatsPerRequest, double constant) {
    this.sliceNanos = Math.max(1, length.toNanos() / SLICES);
    this.repeatsPerRequest = repeatsPerRequest;
    this.constant = constant;
  }

  /** Counts a request. */
  public synchronized void recordRequest(long nowNanos) {
    advance(nowNanos);
    requests[(int) (slice % requests.length)]++;
  }

  /** Takes one repeat; returns false if the window has none left. */
  public synchronized boolean tryRetry(long nowNanos) {
    advance(nowNanos);
    long used = sum(repeats, SLICES);
    // The requests of the window or of the one before it count, whichever are more.
    long recent = sum(requests, SLICES);
    long before = sum(requests, 2 * SLICES) - recent;
    if (used + 1 > repeatsPerRequest * Math.max(recent, before) + constant) {
      return false;
    }
    repeats[(int) (slice % SLICES)]++;
    return true;
  }

  private long sum(long[] counts, int slices) {
    long sum = 0;
    for (int i = 0; i < slices; i++) {
      sum += counts[(int) Math.floorMod(slice - i, (long) counts.length)];
    }
    return sum;
  }

  private void advance(long nowNanos) {
    long now = Math.floorDiv(nowNanos, sliceNanos);
    if (slice == 0) {
      slice = now;
    }
    long steps = Math.min(now - slice, requests.length);
    for (long i = 1; i <= steps; i++) {
      requests[(int) Math.floorMod(now - steps + i, (long) requests.length)] = 0;
      repeats[(int) Math.floorMod(now - steps + i, (long) SLICES)] = 0;
    }
    slice = Math.max(slice, now);
  }
}
