package org.clementinequay.core.rollout;

/**
 * Decision on a roll-out.
 *
 * @param state the state to store
 * @param changed whether the state differs from the stored one; a configuration revision with
 *     {@link StageController#share} must then follow
 * @param reason why, for the log and the operator
 */
public record StageDecision(RolloutState state, boolean changed, String reason) {}
