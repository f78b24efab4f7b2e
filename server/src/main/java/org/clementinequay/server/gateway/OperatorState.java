package org.clementinequay.server.gateway;

import java.util.List;
import java.util.Optional;
import org.clementinequay.core.evacuation.EvacuationReading;
import org.clementinequay.core.forward.ForwardingConfiguration;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.rollout.ShiftOrder;

/**
 * What an operator wrote to the store: all of it, or the changes since a cursor.
 *
 * @param configuration the configuration; empty if it did not change or is invalid
 * @param orders orders to shift traffic to other versions
 * @param evacuations failure domains that are evacuated or no longer so
 * @param cursor position from which later changes can be awaited
 * @param newestChange revision of the newest change among them; 0 if there is none
 * @param storeMillis time of the reading by the store's clock, in milliseconds; 0 if unknown
 * @param changedRows the rows behind a change, from which another host can decode it; empty if all
 *     was read
 */
public record OperatorState(
    Optional<ForwardingConfiguration> configuration,
    List<ShiftOrder> orders,
    EvacuationReading evacuations,
    long cursor,
    long newestChange,
    long storeMillis,
    List<Row> changedRows) {}
