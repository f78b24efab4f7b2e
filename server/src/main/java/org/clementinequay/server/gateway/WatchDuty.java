package org.clementinequay.server.gateway;

import java.time.Duration;

/** Looks at the requests in progress for time limits and for upstreams that make no progress. */
final class WatchDuty {
  private static final Duration INTERVAL = Duration.ofMillis(100);

  /**
   * Delay of a look from which this host is taken to have stood still itself. The bytes that
   * arrived meanwhile must be read before any upstream is judged.
   */
  private static final long OWN_PAUSE_NANOS = 350_000_000L;

  /** Time after such a pause in which nothing is judged. */
  private static final long SETTLE_NANOS = 400_000_000L;

  private final Gateway gateway;
  private long lastNanos;
  private long judgeFromNanos;
  private boolean started;

  WatchDuty(Gateway gateway) {
    this.gateway = gateway;
  }

  Duration step() {
    long now = gateway.clock.nanoTime();
    if (started && now - lastNanos > OWN_PAUSE_NANOS) {
      judgeFromNanos = now + SETTLE_NANOS;
      gateway.log.record("own_pause", "ms", (now - lastNanos) / 1_000_000);
    }
    if (!started) {
      judgeFromNanos = now;
    }
    started = true;
    lastNanos = now;
    boolean judge = now - judgeFromNanos >= 0;
    for (GatewayRun run : gateway.active) {
      run.checkLimit();
      if (judge) {
        run.checkProgress(now);
      }
    }
    return INTERVAL;
  }
}
