package org.clementinequay.server.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.clementinequay.core.admission.AdmissionPolicy;
import org.clementinequay.core.admission.AdmissionPolicy.Decision;
import org.clementinequay.core.admission.RetryAfterEstimate;
import org.clementinequay.core.forward.UpstreamInstance;

/**
 * Lets a request wait in this host while all upstreams that may take it are full. The lock of the
 * forwarder guards its state.
 */
final class WaitStep {
  static final String FULL = "the upstreams are full";

  /** Share of the attempts whose time to the first event shows whether any is in time. */
  private static final double FASTEST_QUANTILE = 0.1;

  /** Share of the attempts that need at most the usual time to the first event. */
  private static final double USUAL_QUANTILE = 0.5;

  private final RequestForwarder forwarder;
  private final Gateway gateway;
  private long waitingSinceNanos;
  private boolean waited;

  WaitStep(RequestForwarder forwarder) {
    this.forwarder = forwarder;
    this.gateway = forwarder.gateway;
  }

  /** Returns the upstreams to which the request is not offered now, tried ones included. */
  Set<String> excluded() {
    Set<String> full = gateway.fullUpstreams.allFull(gateway.clock.nanoTime());
    if (full.isEmpty() || !canWait()) {
      return forwarder.history.tried();
    }
    Set<String> excluded = new HashSet<>(forwarder.history.tried());
    excluded.addAll(full);
    return excluded;
  }

  /**
   * Returns the rejection if no answer would come in time; empty if one may, or is not expected.
   */
  Optional<AdmissionStep.Rejection> hopelessRejection() {
    boolean hopeless =
        gateway.waiting.enabled()
            && forwarder.history.count() == 0
            && decide(true) == Decision.REJECT;
    return hopeless ? Optional.of(rejection("no answer would come in time")) : Optional.empty();
  }

  /** Lets the request wait if upstreams that it was not offered are full; returns whether so. */
  boolean waitsForFirstOffer() {
    boolean full = canWait() && forwarder.placement.hasCandidate(forwarder.history.tried());
    if (full) {
      waitForRoom();
    }
    return full;
  }

  /** Offers the request, which an upstream rejected, to another one, or lets it wait for room. */
  void retryAfterRejection() {
    if (!canWait() || hasOther()) {
      forwarder.retryOrFail(FULL);
    } else {
      waitForRoom();
    }
  }

  /** Starts the request, which waits, if there is room, or rejects it if it waited too long. */
  void checkRoom() {
    boolean other = hasOther();
    Decision decision = decide(other || forwarder.placement.hasAgain(offeredAgain()));
    if (decision == Decision.WAIT) {
      return;
    }
    gateway.waiting.remove(forwarder);
    if (decision == Decision.REJECT
        || forwarder.history.count() > 0 && !gateway.tryRetry(forwarder.service)) {
      forwarder.reject(rejection(FULL));
    } else if (other) {
      forwarder.startAttempt();
    } else {
      offerAgain();
    }
  }

  /** Rejects the request, which waited, because others that come first take its place. */
  void yieldPlace() {
    forwarder.reject(rejection(FULL));
  }

  private boolean canWait() {
    return gateway.waiting.enabled()
        && !forwarder.committed
        // Whether another version may take the request is decided without regard to room.
        && !forwarder.placement.comparesVersions();
  }

  private boolean hasOther() {
    return forwarder.canAttemptAgain() && forwarder.placement.hasCandidate(excluded());
  }

  private void waitForRoom() {
    if (!forwarder.admission.canFinish()) {
      forwarder.reject(forwarder.admission.stopRejection());
      return;
    }
    if (decide(false) == Decision.REJECT) {
      forwarder.reject(rejection(FULL));
      return;
    }
    if (!waited) {
      waited = true;
      waitingSinceNanos = gateway.clock.nanoTime();
    }
    forwarder.log(
        "waits", "attempts", forwarder.history.count(), "waiting", gateway.waiting.size());
    gateway
        .waiting
        .add(forwarder, forwarder.urgency(), forwarder.times.deadlineNanos())
        .ifPresent(last -> forwarder.openCalls.add(last::yieldRoom));
  }

  private void offerAgain() {
    Optional<AdmissionStep.Rejection> rejection = forwarder.admission.rejection();
    if (rejection.isPresent()) {
      forwarder.reject(rejection.get());
      return;
    }
    forwarder
        .placement
        .selectAgain(offeredAgain())
        .ifPresentOrElse(
            selection -> forwarder.send(selection.instance(), selection.choice()),
            this::waitForRoom);
  }

  /** Returns the upstreams that rejected the request and may have room now. */
  private Set<String> offeredAgain() {
    long now = gateway.clock.nanoTime();
    Set<String> result = new HashSet<>(forwarder.history.rejected());
    result.removeIf(id -> gateway.fullUpstreams.full(id, now));
    return result;
  }

  private Decision decide(boolean room) {
    long now = gateway.clock.nanoTime();
    return AdmissionPolicy.decide(
        new AdmissionPolicy.Demand(
            forwarder.times.remainingMillis(),
            forwarder.route.latencyObjectiveMillis(),
            waited ? (now - waitingSinceNanos) / 1_000_000 : 0,
            forwarder.route.kind().streaming()
                ? gateway.firstEventTimes.quantile(forwarder.service, FASTEST_QUANTILE, now)
                : 0,
            room));
  }

  private AdmissionStep.Rejection rejection(String reason) {
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
    return new AdmissionStep.Rejection(forwarder.history.failureStatus(), reason, millis / 1000);
  }
}
