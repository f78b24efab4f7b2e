package org.clementinequay.server.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.clementinequay.core.forward.UpstreamInstance;
import org.clementinequay.core.platform.HistoryLostException;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.rollout.ShiftOrder;
import org.clementinequay.core.rollout.ShiftState;

/** What the platform's store holds for the gateway. Calls block until an answer or a timeout. */
public interface PlatformStore {
  /** Reads all that the operator wrote. */
  OperatorState operatorState() throws PlatformException;

  /** Waits for changes of what the operator wrote. */
  OperatorState operatorChanges(long cursor, Duration maxWait)
      throws PlatformException, HistoryLostException;

  /** Reads the list of upstreams; entries that cannot be read are left out. */
  List<UpstreamInstance> instances() throws PlatformException;

  /** Reads the stored states of moves of traffic. */
  List<StoredShift> shifts() throws PlatformException;

  /**
   * Stores the state of a move unless its row was changed meanwhile.
   *
   * @param before the state as read, if there was one
   * @return whether the state was stored
   */
  boolean storeShift(ShiftOrder order, ShiftState state, Optional<StoredShift> previous)
      throws PlatformException;
}
