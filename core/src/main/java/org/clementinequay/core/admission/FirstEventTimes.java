package org.clementinequay.core.admission;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Times from the start of an attempt to its first event, by service, as this host saw them in the
 * last seconds. Load: the queues of all engines grow; a host that adds up only its own requests
 * does not see them, but its last answers show them. Attempts that were given up count with the
 * time that they had waited, so that the estimate does not follow the lucky ones alone.
 * Thread-safe.
 */
public final class FirstEventTimes {
  /** Number of times that are kept for each service. */
  private static final int SAMPLES = 64;

  /** Number of times below which nothing is known. */
  private static final int MIN_SAMPLES = 4;

  /** Age from which a time says nothing about the load any more, in nanoseconds. */
  private static final long MAX_AGE_NANOS = 5_000_000_000L;

  /** Number of services that are kept; the one that was recorded least recently yields. */
  private static final int MAX_SERVICES = 64;

  private final Map<String, Window> windows =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Window> eldest) {
          return size() > MAX_SERVICES;
        }
      };

  /** Records a time in milliseconds. */
  public synchronized void record(String service, long millis, long nowNanos) {
    windows.computeIfAbsent(service, s -> new Window()).add(millis, nowNanos);
  }

  /**
   * Returns a quantile of the recent times in milliseconds; 0 if too few are known.
   *
   * @param share share of the attempts that needed at most this time
   */
  public synchronized double quantile(String service, double share, long nowNanos) {
    Window window = windows.get(service);
    return window == null ? 0 : window.quantile(share, nowNanos);
  }

  private static final class Window {
    private final long[] millis = new long[SAMPLES];
    private final long[] nanos = new long[SAMPLES];
    private int count;
    private int next;

    private void add(long value, long nowNanos) {
      millis[next] = value;
      nanos[next] = nowNanos;
      next = (next + 1) % SAMPLES;
      count = Math.min(SAMPLES, count + 1);
    }

    private double quantile(double share, long nowNanos) {
      long[] recent = new long[count];
      int size = 0;
      for (int i = 0; i < count; i++) {
        if (nowNanos - nanos[i] <= MAX_AGE_NANOS) {
          recent[size++] = millis[i];
        }
      }
      if (size < MIN_SAMPLES) {
        return 0;
      }
      Arrays.sort(recent, 0, size);
      return recent[Math.max(0, (int) Math.ceil(share * size) - 1)];
    }
  }
}
