package org.clementinequay.core.config;

/**
 * The specification of a model version in the configuration.
 *
 * @param name name of the version, unique within its model
 * @param state life cycle state
 * @param share share of new sessions, from 0 to 1, while rolling out; 0 in any other state
 * @param promptMicrosPerToken price of a prompt token, in millionths of the billing unit
 * @param completionMicrosPerToken price of a generated token, in millionths of the billing unit
 */
public record VersionSpec(
    String name,
    VersionState state,
    double share,
    long promptMicrosPerToken,
    long completionMicrosPerToken) {

  /** Returns the same version with another state and share. */
  public VersionSpec withState(VersionState newState, double newShare) {
    return new VersionSpec(
        name, newState, newShare, promptMicrosPerToken, completionMicrosPerToken);
  }

  /** Returns the price of a request, in millionths of the billing unit. */
  public long costMicros(long promptTokens, long completionTokens) {
    return promptTokens * promptMicrosPerToken + completionTokens * completionMicrosPerToken;
  }
}
