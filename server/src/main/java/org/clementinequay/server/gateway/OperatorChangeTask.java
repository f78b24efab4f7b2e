package org.clementinequay.server.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.clementinequay.core.evacuation.EvacuationReading;
import org.clementinequay.core.platform.HistoryLostException;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.spread.ReadSchedule;
import org.clementinequay.core.spread.StoreClock;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;

/**
 * Applies what the operator writes to the store: the configuration and traffic shift orders. A
 * reader of its failure domain waits for changes at the store, unless one of another domain does.
 * After each read, all linked hosts are told the revision of the newest change. Within the domain,
 * a reader passes a change on with its rows; a host that lacks an earlier change, or gets no rows
 * because they are too large, reads it itself. In another domain its reader does.
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
  private volatile long cursor = -1;
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
      long from = cursor;
      boolean change = from >= 0;
      boolean led = schedule.leads();
      OperatorState state =
          change
              ? platform.operatorChanges(from, reader && led ? maxWait : Duration.ZERO)
              : platform.operatorState();
      // First, because a host that starts takes requests once it has a configuration.
      gateway.applyEvacuations(
          state.evacuations(), state.storeMillis(), change ? "a change" : "all rows");
      apply(state);
      long knownBefore = recordKnown(state.cursor(), state.newestChange());
      boolean contested = led && !schedule.leads();
      schedule.recordRead(storeClock.toHostNanos(state.storeMillis(), gateway.clock.nanoTime()));
      if (contested && gateway.random.nextBoolean()) {
        // Of several readers that wait at the store at the same time, one is to remain.
        schedule.yieldLead();
      }
      dependency.succeeded();
      announce(state, knownBefore, reader && change && state.newestChange() > knownBefore);
    } catch (HistoryLostException e) {
      gateway.log.record("history_lost", "cursor", cursor, "reason", e.getMessage());
      forgetCursor();
    } catch (PlatformException e) {
      schedule.recordFailure(gateway.clock.nanoTime());
      dependency.failed(e);
    }
    return Duration.ZERO;
  }

  private synchronized void forgetCursor() {
    cursor = -1;
  }

  private void apply(OperatorState state) {
    state.configuration().ifPresent(gateway::configure);
    state.orders().forEach(gateway::applyOrder);
  }

  /** Records up to where this host knows the changes; returns the newest one before. */
  private synchronized long recordKnown(long newCursor, long change) {
    final long before = newestChange;
    cursor = Math.max(cursor, newCursor);
    newestChange = Math.max(newestChange, change);
    return before;
  }

  private void announce(OperatorState state, long knownBefore, boolean withRows) {
    PeerMessage.OperatorReading reading =
        new PeerMessage.OperatorReading(
            newestChange, state.storeMillis(), gateway.evacuated.names());
    Optional<byte[]> rows = withRows ? encodeRows(state.changedRows()) : Optional.empty();
    links.broadcast(
        rows.isPresent()
            ? new PeerMessage.OperatorChange(knownBefore, reading, state.cursor(), rows.get())
            : reading,
        role::isNear);
    links.broadcast(reading, peer -> !role.isNear(peer));
  }

  private Optional<byte[]> encodeRows(List<Row> rows) {
    try {
      return rows.isEmpty() ? Optional.empty() : OperatorRowCodec.encode(rows);
    } catch (IOException e) {
      gateway.log.record("change_not_passed_on", "reason", e.getMessage());
      return Optional.empty();
    }
  }

  @Override
  public void received(PeerNetwork.Peer from, PeerMessage message) {
    if (!role.isNear(from)) {
      if (message instanceof PeerMessage.OperatorReading reading && tellsEvacuations(reading)) {
        handleDistantReading(reading);
      }
      return;
    }
    if (message instanceof PeerMessage.OperatorReading reading) {
      handleReading(from, reading);
    } else if (message instanceof PeerMessage.OperatorChange change && change.reading() != null) {
      // First, because a read from the position after the change shows no evacuation before it.
      applyEvacuations(from, change.reading());
      if (change.reading().newestChange() > newestChange && tellsEvacuations(change.reading())) {
        applyChange(from, change);
      }
      handleReading(from, change.reading());
    }
  }

  private void handleReading(PeerNetwork.Peer from, PeerMessage.OperatorReading reading) {
    applyEvacuations(from, reading);
    if (reading.newestChange() > newestChange || differsInEvacuations(reading)) {
      schedule.recordBehind();
    } else if (reading.newestChange() == newestChange && confirmsEvacuations(reading)) {
      schedule.recordConfirmation(
          storeClock.toHostNanos(reading.storeMillis(), gateway.clock.nanoTime()));
    }
  }

  /** Takes a reading of another domain as a sign that nothing is new, and passes that on. */
  private void handleDistantReading(PeerMessage.OperatorReading reading) {
    boolean sameEvacuations = reading.evacuated().equals(gateway.evacuated.names());
    long readNanos = storeClock.toHostNanos(reading.storeMillis(), gateway.clock.nanoTime());
    if (reading.newestChange() > newestChange || !sameEvacuations) {
      if (role.isReader()) {
        schedule.recordBehind();
      }
    } else if (reading.newestChange() == newestChange && schedule.recordConfirmation(readNanos)) {
      links.broadcast(reading, role::isNear);
    }
  }

  /** Applies a change that a peer has read, if this host knows all changes before it. */
  private synchronized void applyChange(PeerNetwork.Peer from, PeerMessage.OperatorChange change) {
    if (cursor < 0 || change.after() != newestChange || change.rows() == null) {
      return;
    }
    try {
      apply(platform.decodeOperatorChange(OperatorRowCodec.decode(change.rows())));
      recordKnown(change.cursor(), change.reading().newestChange());
    } catch (IOException | RuntimeException e) {
      gateway.log.record("change_unreadable", "peer", from.host(), "reason", e.getMessage());
    }
  }

  private static boolean tellsEvacuations(PeerMessage.OperatorReading reading) {
    return reading.evacuated() != null && reading.storeMillis() > 0;
  }

  /** Applies the evacuations that a peer has read, so that the store need not serve this host. */
  private void applyEvacuations(PeerNetwork.Peer from, PeerMessage.OperatorReading reading) {
    if (tellsEvacuations(reading)) {
      gateway.applyEvacuations(
          new EvacuationReading(reading.evacuated(), List.of(), true),
          reading.storeMillis(),
          "by " + from.host());
    }
  }

  /**
   * Returns whether a reading shows that no evacuation has ended; its end leaves no revision, and a
   * host of an earlier release does not tell it.
   */
  private boolean confirmsEvacuations(PeerMessage.OperatorReading reading) {
    return reading.evacuated() != null || gateway.evacuated.names().isEmpty();
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
