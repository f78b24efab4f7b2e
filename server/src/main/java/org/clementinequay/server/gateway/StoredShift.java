package org.clementinequay.server.gateway;

import org.clementinequay.core.rollout.ShiftState;

/**
 * State of a traffic shift in the platform's store.
 *
 * @param service name of the service
 * @param target version to which the traffic is moved
 * @param state last state that a host stored
 * @param revision revision of the row; less than that of the order if it belongs to an earlier
 *     order
 */
public record StoredShift(String service, String target, ShiftState state, long revision) {}
