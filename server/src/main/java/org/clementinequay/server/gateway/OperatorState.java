package org.clementinequay.server.gateway;

import java.util.List;
import java.util.Optional;
import org.clementinequay.core.forward.ForwardingConfiguration;
import org.clementinequay.core.rollout.ShiftOrder;

/**
 * What an operator wrote, or what changed of it.
 *
 * @param configuration the configuration, if it was read and is valid
 * @param orders orders to move traffic to other versions
 * @param cursor point from which later changes can be awaited
 */
public record OperatorState(
    Optional<ForwardingConfiguration> configuration, List<ShiftOrder> orders, long cursor) {}
