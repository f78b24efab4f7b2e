package org.clementinequay.server.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.clementinequay.core.platform.HistoryLostException;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.quarantine.SharedPart;
import org.clementinequay.core.rollout.ShiftOrder;
import org.clementinequay.core.rollout.ShiftState;

/**
 * Access to the gateway's data in the platform's store. Calls block until a response or timeout.
 */
public interface PlatformStore {
  /** Reads the whole current state that the operator wrote. */
  OperatorState operatorState() throws PlatformException;

  /**
   * Waits for changes by the operator.
   *
   * @param cursor cursor of the state that was read last
   * @throws HistoryLostException if the whole state must be read again
   */
  OperatorState operatorChanges(long cursor, Duration maxWait)
      throws PlatformException, HistoryLostException;

  /** Decodes rows that another host read as a change; malformed ones are left out. */
  OperatorState decodeOperatorChange(List<Row> rows);

  /** Reads the list of upstreams; malformed entries are left out. */
  InstanceReading instances() throws PlatformException;

  /** Reads the stored states of traffic shifts; malformed entries are left out. */
  List<StoredShift> shifts() throws PlatformException;

  /**
   * Stores the state of a traffic shift unless its row was changed since it was read.
   *
   * @param previous the row as it was read; empty if there was none
   * @return whether the state was stored
   */
  boolean storeShift(ShiftOrder order, ShiftState state, Optional<StoredShift> previous)
      throws PlatformException;

  /** Reads the stored parts of prompts that are in quarantine; malformed entries are left out. */
  List<SharedPart> quarantinedParts() throws PlatformException;

  /** Stores that a part is in quarantine. */
  void storeQuarantinedPart(SharedPart part) throws PlatformException;

  /** Removes a part that is no longer in quarantine. */
  void removeQuarantinedPart(SharedPart part) throws PlatformException;
}
