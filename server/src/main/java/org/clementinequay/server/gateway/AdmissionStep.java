package org.clementinequay.server.gateway;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides before each attempt of a request whether it may start. The lock of the forwarder guards
 * the state that it reads.
 */
final class AdmissionStep {
  static final String STOPPING = "this host stops";

  /** Value of {@code Retry-After} where other hosts can take the request, in seconds. */
  private static final double RETRY_AT_ONCE_SECONDS = 0;

  /** Longest time by which a request outlives its deadline. */
  private static final Duration MAX_OVERRUN =
      Duration.ofMillis(RequestForwarder.DEADLINE_GRACE_MILLIS).plus(RequestWatchdog.INTERVAL);

  private final RequestForwarder forwarder;
  private final Gateway gateway;

  /** Response to a request that does not start. */
  record Rejection(int status, String reason, double retryAfterSeconds) {}

  AdmissionStep(RequestForwarder forwarder) {
    this.forwarder = forwarder;
    this.gateway = forwarder.gateway;
  }

  /** Returns the reason why no attempt may start now; empty if one may. */
  Optional<Rejection> rejection() {
    AttemptHistory history = forwarder.history;
    if (!forwarder.times.allowsAttempt()) {
      return Optional.of(
          new Rejection(
              history.timeoutStatus(),
              "no time is left",
              ErrorResponses.DEFAULT_RETRY_AFTER_SECONDS));
    }
    if (mustRefuseForStop()) {
      return Optional.of(stopRejection());
    }
    if (forwarder.placement.exceedsEngineMemory()) {
      return Optional.of(
          new Rejection(
              history.failureStatus(),
              "the prompt exceeds the memory of an engine",
              ErrorResponses.DEFAULT_RETRY_AFTER_SECONDS));
    }
    Optional<Rejection> hopeless = forwarder.waiting.hopelessRejection();
    return hopeless.isPresent() ? hopeless : quarantined().map(this::quarantineRejection);
  }

  Rejection stopRejection() {
    return new Rejection(forwarder.history.failureStatus(), STOPPING, RETRY_AT_ONCE_SECONDS);
  }

  /** Returns how long a part of the prompt stays in quarantine; empty if none is. */
  Optional<Duration> quarantined() {
    return gateway.crashGuard.quarantined(forwarder.service, forwarder.sharedPartIds);
  }

  Rejection quarantineRejection(Duration remaining) {
    return new Rejection(
        forwarder.history.failureStatus(),
        "upstreams crash under a part of the prompt",
        remaining.toMillis() / 1000.0);
  }

  /**
   * Returns whether an attempt that begins now can complete the answer before this host ends. An
   * answer that has begun goes on as far as it can.
   */
  boolean canFinish() {
    Duration limit = Duration.ofMillis(forwarder.times.remainingMillis()).plus(MAX_OVERRUN);
    return forwarder.committed
        || gateway.canFinish(forwarder.route, forwarder.startedNanos(), limit);
  }

  /**
   * Returns whether to refuse the request instead of sending it. One that may have run could get no
   * promise, so its next attempt is decided when it is chosen, and not again when it is sent.
   */
  boolean mustRefuseForStop() {
    return !forwarder.history.mayHaveRun() && !canFinish();
  }
}
