package org.clementinequay.server.gateway;

import java.time.Duration;

/** Looks at the requests in progress for time limits and for upstreams that make no progress. */
final class RequestWatchdog {
  private static final Duration INTERVAL = Duration.ofMillis(100);

  /**
   * Delay of a look from which this host is taken to have stood still itself. The bytes that
   * arrived meanwhile must be read before any upstream is judged.
   */
  private static final long PAUSE_THRESHOLD_NANOS = 350_000_000L;

  /** Time after such a pause in which nothing is judged. */
  private static final long RECOVERY_NANOS = 400_000_000L;

  private final Gateway gateway;
  private long lastCheckNanos;
  private long checkProgressFromNanos;
  private boolean started;

  RequestWatchdog(Gateway gateway) {
    this.gateway = gateway;
  }

  Duration step() {
    long now = gateway.clock.nanoTime();
    if (started && now - lastCheckNanos > PAUSE_THRESHOLD_NANOS) {
      checkProgressFromNanos = now + RECOVERY_NANOS;
      gateway.log.record("own_pause", "ms", (now - lastCheckNanos) / 1_000_000);
    }
    if (!started) {
      checkProgressFromNanos = now;
    }
    started = true;
    lastCheckNanos = now;
    boolean checkProgress = now - checkProgressFromNanos >= 0;
    for (RequestForwarder run : gateway.activeRequests) {
      run.checkDeadline();
      if (checkProgress) {
        run.checkProgress(now);
      }
    }
    return INTERVAL;
  }
}
