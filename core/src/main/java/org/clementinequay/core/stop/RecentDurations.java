package org.clementinequay.core.stop;

import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Durations of the last requests of each kind, from which the usual duration is taken. Thread-safe.
 */
public final class RecentDurations {
  /** Number of durations that are kept for each kind. */
  static final int SAMPLES = 64;

  /** Number of durations below which the usual one is unknown. */
  static final int MIN_SAMPLES = 4;

  /** Share of the requests that take at most the usual duration. */
  static final double USUAL_QUANTILE = 0.9;

  /** Number of kinds that are kept; the one that was recorded least recently yields. */
  static final int MAX_KINDS = 1024;

  private final Map<String, Window> windows =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Window> eldest) {
          return size() > MAX_KINDS;
        }
      };

  /**
   * Records the duration of a request that was answered completely.
   *
   * @param kind name of a kind of request, within which durations are similar
   */
  public synchronized void record(String kind, Duration duration) {
    windows.computeIfAbsent(kind, k -> new Window()).add(duration.toNanos());
  }

  /** Returns the duration within which most requests of a kind end; empty if it is unknown. */
  public synchronized Optional<Duration> usual(String kind) {
    Window window = windows.get(kind);
    return window == null || window.count < MIN_SAMPLES
        ? Optional.empty()
        : Optional.of(Duration.ofNanos(window.quantile(USUAL_QUANTILE)));
  }

  private static final class Window {
    private final long[] nanos = new long[SAMPLES];
    private int count;
    private int next;

    private void add(long value) {
      nanos[next] = value;
      next = (next + 1) % SAMPLES;
      count = Math.min(SAMPLES, count + 1);
    }

    private long quantile(double share) {
      long[] sorted = Arrays.copyOf(nanos, count);
      Arrays.sort(sorted);
      return sorted[(int) Math.ceil(share * count) - 1];
    }
  }
}
