package org.clementinequay.core.rollout;

import java.time.Duration;

/**
 * An operator's order to move a service's traffic to another version.
 *
 * @param service name of the service
 * @param target version to which the traffic is moved
 * @param duration time within which the move must be completed
 * @param revision number of the order; a later order has a higher number
 */
public record ShiftOrder(String service, String target, Duration duration, long revision) {}
