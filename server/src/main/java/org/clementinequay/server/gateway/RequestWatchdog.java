package org.clementinequay.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;

/** Checks the requests in progress for passed deadlines and for stalled upstreams. */
final class RequestWatchdog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  static final Duration INTERVAL = Duration.ofMillis(100);

  /**
   * Time between two checks from which this host itself is considered to have been paused. The
   * bytes that arrived meanwhile must be read before any upstream is considered stalled.
   */
  private static final long PAUSE_THRESHOLD_NANOS = 350_000_000L;

  /** Time after such a pause during which upstreams are not checked for progress. */
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
    gateway.recheckWaiting();
    boolean checkProgress = now - checkProgressFromNanos >= 0;
    for (RequestForwarder forwarder : gateway.activeRequests) {
      try {
        forwarder.checkDeadline();
        if (checkProgress) {
          forwarder.checkProgress(now);
        }
      } catch (RuntimeException e) {
        // The deadlines of the other requests must be checked all the same.
        logger.atSevere().withCause(e).log("the check of a request failed");
      }
    }
    return INTERVAL;
  }
}
