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
 * Keeps the stored state of moves of traffic in step with what the hosts find out. Any host may
 * store a state; the row's revision decides between two, and a final state is never changed.
 */
final class ShiftDuty {
  private static final Duration IDLE = Duration.ofMillis(400);

  /** Pause between two looks at the evidence while traffic moves. */
  private static final Duration BUSY = Duration.ofMillis(200);

  /** Time between two readings of the stored states; until then a host goes by the evidence. */
  private static final long READ_INTERVAL_NANOS = 2_500_000_000L;

  private static final Duration AFTER_FAILURE = Duration.ofMillis(250);

  private final Gateway gateway;
  private final PlatformStore platform;
  private final ShiftGossip gossip;
  private final Dependency dependency;
  private long readAtNanos;
  private boolean read;

  ShiftDuty(Gateway gateway, PlatformStore platform, ShiftGossip gossip) {
    this.gateway = gateway;
    this.platform = platform;
    this.gossip = gossip;
    this.dependency = new Dependency("states of roll-outs", gateway.log);
  }

  Duration step() {
    List<TrafficShift> open = new ArrayList<>();
    boolean due = false;
    long now = gateway.clock.nanoTime();
    for (TrafficShift shift : gateway.shifts()) {
      if (!shift.state().ended()) {
        open.add(shift);
        due |= shift.finalStateDue(now).isPresent();
      }
    }
    if (open.isEmpty()) {
      read = false;
      return IDLE;
    }
    gossip.tell(open, now);
    if (read && !due && now - readAtNanos < READ_INTERVAL_NANOS) {
      return BUSY;
    }
    try {
      List<StoredShift> stored = platform.shifts();
      readAtNanos = now;
      read = true;
      for (TrafficShift shift : open) {
        reconcile(shift, stored);
      }
      dependency.succeeded();
      return BUSY;
    } catch (PlatformException e) {
      dependency.failed(e);
      return AFTER_FAILURE;
    }
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
    boolean won = platform.storeShift(order, next, row);
    gateway.log.record(
        "rollout_state",
        "service",
        order.service(),
        "target",
        order.target(),
        "state",
        next,
        "stored",
        won,
        "reason",
        shift.reason());
    if (won) {
      shift.applyStoredState(next);
    }
  }
}
