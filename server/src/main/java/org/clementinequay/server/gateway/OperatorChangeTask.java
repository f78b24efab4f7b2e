package org.clementinequay.server.gateway;

import java.time.Duration;
import java.util.List;
import org.clementinequay.core.evacuation.EvacuationReading;
import org.clementinequay.core.platform.HistoryLostException;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.rollout.ShiftOrder;
import org.clementinequay.core.spread.ReadSchedule;
import org.clementinequay.core.spread.StoreClock;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;

/**
 * Applies what the operator writes to the store: the configuration and traffic shift orders. A
 * reader of its failure domain waits for changes at the store. After each read, the other hosts of
 * the domain are told the revision of the newest change, and read it if they do not have it.
 */
final class OperatorChangeTask implements PeerNetwork.Listener {
  /** Time between checks whether a read is due. */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  private final Gateway gateway;
  private final PlatformStore platform;
  private final StoreReaderRole role;
  private final PeerBroadcast links;
  private final DependencyStatusLog dependency;
  private final ReadSchedule schedule;
  private final StoreClock storeClock;
  private final Duration maxWait;
  private long cursor = -1;
  private volatile long newestChange;

  /**
   * Creates the task.
   *
   * @param maxWait longest wait of a reader for a change; a dead connection is detected only by the
   *     missing response
   */
  OperatorChangeTask(
      Gateway gateway,
      PlatformStore platform,
      StoreReaderRole role,
      PeerBroadcast links,
      ReadSchedule schedule,
      StoreClock storeClock,
      Duration maxWait) {
    this.gateway = gateway;
    this.platform = platform;
    this.role = role;
    this.links = links;
    this.schedule = schedule;
    this.storeClock = storeClock;
    this.maxWait = maxWait;
    this.dependency = new DependencyStatusLog("operator feed", gateway.log);
  }

  Duration step() {
    boolean reader = role.isReader();
    long untilRead = schedule.nanosUntilRead(reader, gateway.clock.nanoTime());
    if (untilRead > 0) {
      return Duration.ofNanos(Math.min(untilRead, CHECK_INTERVAL.toNanos()));
    }
    try {
      OperatorState state =
          cursor < 0
              ? platform.operatorState()
              : platform.operatorChanges(cursor, reader ? maxWait : Duration.ZERO);
      state.configuration().ifPresent(gateway::configure);
      for (ShiftOrder order : state.orders()) {
        gateway.applyOrder(order);
      }
      gateway.applyEvacuations(
          state.evacuations(), state.storeMillis(), cursor < 0 ? "all rows" : "a change");
      cursor = state.cursor();
      newestChange = Math.max(newestChange, state.newestChange());
      schedule.recordRead(storeClock.toHostNanos(state.storeMillis(), gateway.clock.nanoTime()));
      dependency.succeeded();
      links.broadcast(
          new PeerMessage.OperatorReading(
              newestChange, state.storeMillis(), gateway.evacuated.names()),
          role::isNear);
    } catch (HistoryLostException e) {
      gateway.log.record("history_lost", "cursor", cursor, "reason", e.getMessage());
      cursor = -1;
    } catch (PlatformException e) {
      schedule.recordFailure(gateway.clock.nanoTime());
      dependency.failed(e);
    }
    return Duration.ZERO;
  }

  @Override
  public void received(PeerNetwork.Peer from, PeerMessage message) {
    if (message instanceof PeerMessage.OperatorReading reading && role.isNear(from)) {
      applyEvacuations(from, reading);
      if (reading.newestChange() > newestChange || differsInEvacuations(reading)) {
        schedule.recordBehind();
      } else if (reading.newestChange() == newestChange) {
        schedule.recordConfirmation(
            storeClock.toHostNanos(reading.storeMillis(), gateway.clock.nanoTime()));
      }
    }
  }

  /** Applies the evacuations that a peer has read, so that the store need not serve this host. */
  private void applyEvacuations(PeerNetwork.Peer from, PeerMessage.OperatorReading reading) {
    if (reading.evacuated() != null && reading.storeMillis() > 0) {
      gateway.applyEvacuations(
          new EvacuationReading(reading.evacuated(), List.of(), true),
          reading.storeMillis(),
          "by " + from.host());
    }
  }

  /**
   * Returns whether a reading of unknown time has other evacuations, so that this host must read.
   */
  private boolean differsInEvacuations(PeerMessage.OperatorReading reading) {
    return reading.evacuated() != null
        && reading.storeMillis() <= 0
        && !reading.evacuated().equals(gateway.evacuated.names());
  }
}
