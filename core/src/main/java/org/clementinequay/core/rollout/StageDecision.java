package org.clementinequay.core.rollout;

/**
 * Decision of {@link StageController} on a roll-out.
 *
 * @param state the state to store
 * @param changed whether the state differs from the stored one; the caller must then publish a
 *     configuration revision with the new {@link StageController#share}
 * @param reason explanation for the log and the operator
 */
public record StageDecision(RolloutState state, boolean changed, String reason) {}
