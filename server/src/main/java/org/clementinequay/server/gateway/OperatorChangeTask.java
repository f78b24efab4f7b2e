package org.clementinequay.server.gateway;

import java.time.Duration;
import org.clementinequay.core.platform.HistoryLostException;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.rollout.ShiftOrder;

/** Applies what the operator writes to the store: the configuration and traffic shift orders. */
final class OperatorChangeTask {
  /**
   * Longest wait for a change. A dead connection is detected only by the missing response, and a
   * change must be in force within 2 s.
   */
  private static final Duration MAX_WAIT = Duration.ofMillis(1600);

  private static final Duration RETRY_DELAY = Duration.ofMillis(150);

  private final Gateway gateway;
  private final PlatformStore platform;
  private final DependencyStatusLog dependency;
  private long cursor = -1;

  OperatorChangeTask(Gateway gateway, PlatformStore platform) {
    this.gateway = gateway;
    this.platform = platform;
    this.dependency = new DependencyStatusLog("operator feed", gateway.log);
  }

  Duration step() {
    try {
      OperatorState state =
          cursor < 0 ? platform.operatorState() : platform.operatorChanges(cursor, MAX_WAIT);
      state.configuration().ifPresent(gateway::configure);
      for (ShiftOrder order : state.orders()) {
        gateway.applyOrder(order);
      }
      cursor = state.cursor();
      dependency.succeeded();
      return Duration.ZERO;
    } catch (HistoryLostException e) {
      gateway.log.record("history_lost", "cursor", cursor, "reason", e.getMessage());
      cursor = -1;
      return Duration.ZERO;
    } catch (PlatformException e) {
      dependency.failed(e);
      return RETRY_DELAY;
    }
  }
}
