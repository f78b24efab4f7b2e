package org.clementinequay.server.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.clementinequay.core.admission.AdmissionPolicy;
import org.clementinequay.core.admission.RetryAfterEstimate;
import org.clementinequay.core.forward.UpstreamInstance;

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

  /** Share of the attempts whose time to the first event shows whether any is in time. */
  private static final double FASTEST_QUANTILE = 0.1;

  /** Share of the attempts that need at most the usual time to the first event. */
  private static final double USUAL_QUANTILE = 0.5;

  private final RequestForwarder forwarder;
  private final Gateway gateway;
  private long waitingSinceNanos;

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
    if (gateway.waiting.enabled()
        && history.count() == 0
        && decide(true) == AdmissionPolicy.Decision.REJECT) {
      return Optional.of(roomRejection("no answer would come in time"));
    }
    return quarantined().map(this::quarantineRejection);
  }

  Rejection stopRejection() {
    return new Rejection(forwarder.history.failureStatus(), STOPPING, RETRY_AT_ONCE_SECONDS);
  }

  /** Returns whether the request may wait in this host for room. */
  boolean canWait() {
    return gateway.waiting.enabled()
        && !forwarder.committed
        // Whether another version may take the request is decided without regard to room.
        && gateway.shift(forwarder.service).filter(shift -> !shift.state().ended()).isEmpty();
  }

  /**
   * Decides on the request by the room for it.
   *
   * @param room whether an upstream that is not known to be full may take it
   */
  AdmissionPolicy.Decision decide(boolean room) {
    long now = gateway.clock.nanoTime();
    return AdmissionPolicy.decide(
        new AdmissionPolicy.Demand(
            forwarder.times.remainingMillis(),
            forwarder.route.latencyObjectiveMillis(),
            waitingSinceNanos == 0 ? 0 : (now - waitingSinceNanos) / 1_000_000,
            forwarder.route.kind().streaming()
                ? gateway.firstEventTimes.quantile(forwarder.service, FASTEST_QUANTILE, now)
                : 0,
            room));
  }

  /** Records that the request waits from now on, unless it waits already. */
  void recordWaiting() {
    if (waitingSinceNanos == 0) {
      waitingSinceNanos = gateway.clock.nanoTime();
    }
  }

  /** Returns the upstreams to which the request is not offered now, tried ones included. */
  Set<String> excluded() {
    Set<String> excluded = new HashSet<>(forwarder.history.tried());
    if (canWait()) {
      long now = gateway.clock.nanoTime();
      for (UpstreamInstance upstream : gateway.available(forwarder.service)) {
        if (gateway.fullUpstreams.full(upstream.id(), now)) {
          excluded.add(upstream.id());
        }
      }
    }
    return excluded;
  }

  /** Returns the upstreams that rejected the request and may have room now. */
  Set<String> offeredAgain() {
    long now = gateway.clock.nanoTime();
    Set<String> result = new HashSet<>(forwarder.history.rejected());
    result.removeIf(id -> gateway.fullUpstreams.full(id, now));
    return result;
  }

  /** Returns the rejection for want of room, with the time at which the caller is to come back. */
  Rejection roomRejection(String reason) {
    long now = gateway.clock.nanoTime();
    List<String> ids =
        gateway.available(forwarder.service).stream().map(UpstreamInstance::id).toList();
    double millis =
        RetryAfterEstimate.millis(
            gateway.fullUpstreams.nanosUntilRoom(ids, now) / 1e6,
            gateway.waiting.size(),
            gateway.firstEventTimes.quantile(forwarder.service, USUAL_QUANTILE, now),
            forwarder.times.remainingMillis(),
            gateway.random.nextDouble());
    return new Rejection(forwarder.history.failureStatus(), reason, millis / 1e3);
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
