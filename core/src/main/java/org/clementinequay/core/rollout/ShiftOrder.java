package org.clementinequay.core.rollout;

import java.time.Duration;

/**
 * An operator's order to move a service's traffic to another version.
 *
 * @param service name of the service
 * @param target version that is to serve
 * @param duration time in which the move must end
 * @param revision number of the order; a later order has a greater one
 */
public record ShiftOrder(String service, String target, Duration duration, long revision) {}
