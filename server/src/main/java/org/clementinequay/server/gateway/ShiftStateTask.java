package org.clementinequay.server.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.rollout.ShiftOrder;
import org.clementinequay.core.rollout.ShiftState;
import org.clementinequay.core.rollout.TrafficShift;

/**
 * Synchronises the stored states of traffic shifts with the evidence that the hosts collect. Any
 * host may store a state; the revision of the row decides between concurrent writes, and a final
 * state is never changed.
 */
final class ShiftStateTask {
  private static final Duration IDLE_INTERVAL = Duration.ofMillis(400);

  /** Time between checks of the evidence while a traffic shift is in progress. */
  private static final Duration ACTIVE_INTERVAL = Duration.ofMillis(200);

  /** Time between reads of the stored states; in between a host relies on the evidence alone. */
  private static final long READ_INTERVAL_NANOS = 2_500_000_000L;

  /**
   * Time for which a host that does not read the store for its domain leaves the final state to
   * those that do.
   */
  private static final long DEFERRAL_NANOS = 1_500_000_000L;

  /** Pause of the calls after the first failed one; doubled with each further one. */
  private static final long RETRY_DELAY_NANOS = 250_000_000L;

  private static final long MAX_RETRY_DELAY_NANOS = 2_000_000_000L;

  private final Gateway gateway;
  private final PlatformStore platform;
  private final ShiftGossip gossip;
  private final StoreReaderRole role;
  private final DependencyStatusLog dependency;
  private long lastReadNanos;
  private boolean hasRead;
  private boolean deferring;
  private long deferredSinceNanos;
  private long retryDelayNanos;
  private long failedNanos;

  ShiftStateTask(
      Gateway gateway, PlatformStore platform, ShiftGossip gossip, StoreReaderRole role) {
    this.gateway = gateway;
    this.platform = platform;
    this.gossip = gossip;
    this.role = role;
    this.dependency = new DependencyStatusLog("states of roll-outs", gateway.log);
  }

  Duration step() {
    List<TrafficShift> openShifts = new ArrayList<>();
    boolean finalStateDue = false;
    long now = gateway.clock.nanoTime();
    for (TrafficShift shift : gateway.shifts()) {
      if (!shift.state().ended()) {
        openShifts.add(shift);
        finalStateDue |= shift.finalStateDue(now).isPresent();
      }
    }
    if (openShifts.isEmpty()) {
      hasRead = false;
      deferring = false;
      return IDLE_INTERVAL;
    }
    gossip.broadcast(openShifts, now);
    // The evidence above goes on while the store does not respond.
    if (now - failedNanos < retryDelayNanos || (hasRead && !isReadDue(finalStateDue, now))) {
      return ACTIVE_INTERVAL;
    }
    try {
      List<StoredShift> stored = platform.shifts();
      lastReadNanos = now;
      hasRead = true;
      for (TrafficShift shift : openShifts) {
        reconcile(shift, stored);
      }
      dependency.succeeded();
      retryDelayNanos = 0;
    } catch (PlatformException e) {
      dependency.failed(e);
      failedNanos = gateway.clock.nanoTime();
      retryDelayNanos =
          Math.min(MAX_RETRY_DELAY_NANOS, Math.max(RETRY_DELAY_NANOS, 2 * retryDelayNanos));
    }
    return ACTIVE_INTERVAL;
  }

  private boolean isReadDue(boolean finalStateDue, long now) {
    if (role.isReader()) {
      return finalStateDue || now - lastReadNanos >= READ_INTERVAL_NANOS;
    }
    if (finalStateDue && !deferring) {
      deferring = true;
      deferredSinceNanos = now;
    }
    return finalStateDue && now - deferredSinceNanos >= DEFERRAL_NANOS;
  }

  private void reconcile(TrafficShift shift, List<StoredShift> stored) throws PlatformException {
    ShiftOrder order = shift.order();
    Optional<StoredShift> row =
        stored.stream().filter(s -> s.service().equals(order.service())).findFirst();
    Optional<StoredShift> current =
        row.filter(s -> s.revision() > order.revision() && s.target().equals(order.target()));
    if (current.isPresent()) {
      if (current.get().state().ended()) {
        gateway.log.record(
            "rollout_stored", "service", order.service(), "state", current.get().state());
      }
      shift.applyStoredState(current.get().state());
      if (current.get().state().ended()) {
        return;
      }
    }
    Optional<ShiftState> due = shift.finalStateDue(gateway.clock.nanoTime());
    if (due.isEmpty() && current.isPresent()) {
      return;
    }
    ShiftState next = due.orElse(ShiftState.ACTIVE);
    boolean committed = platform.storeShift(order, next, row);
    gateway.log.record(
        "rollout_state",
        "service",
        order.service(),
        "target",
        order.target(),
        "state",
        next,
        "stored",
        committed,
        "reason",
        shift.reason());
    if (committed) {
      shift.applyStoredState(next);
    }
  }
}
