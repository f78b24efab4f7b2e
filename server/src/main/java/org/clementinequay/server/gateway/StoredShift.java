package org.clementinequay.server.gateway;

import org.clementinequay.core.rollout.ShiftState;

/**
 * State of a move of traffic as the platform's store holds it.
 *
 * @param service the service
 * @param target version to which the traffic moves
 * @param state the state
 * @param revision revision of the row; older than the order's if it belongs to an earlier order
 */
public record StoredShift(String service, String target, ShiftState state, long revision) {}
