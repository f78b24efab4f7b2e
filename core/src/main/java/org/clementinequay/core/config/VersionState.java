package org.clementinequay.core.config;

import java.util.Locale;
import java.util.Optional;

/** Life cycle state of a model version. */
public enum VersionState {
  /** Receives a configured share of the new sessions and requests. */
  ROLLING_OUT(true, true),
  /** In full service; receives the new sessions that are not assigned to a rollout. */
  LIVE(true, true),
  /** Receives no new sessions; sessions that are bound to it continue. */
  CLOSING(false, true),
  /** Receives no requests at all, not even those of bound sessions. */
  WITHDRAWN(false, false);

  private final boolean acceptsNewSessions;
  private final boolean acceptsBoundSessions;

  VersionState(boolean acceptsNewSessions, boolean acceptsBoundSessions) {
    this.acceptsNewSessions = acceptsNewSessions;
    this.acceptsBoundSessions = acceptsBoundSessions;
  }

  /** Returns whether a request without a session may be bound to the version. */
  public boolean acceptsNewSessions() {
    return acceptsNewSessions;
  }

  /** Returns whether a request of a session that is bound to the version may run. */
  public boolean acceptsBoundSessions() {
    return acceptsBoundSessions;
  }

  /** Returns the name that is used in configuration documents, such as {@code rolling-out}. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the state with the given label, or empty if there is none. */
  public static Optional<VersionState> ofLabel(String label) {
    for (VersionState state : values()) {
      if (state.label().equals(label)) {
        return Optional.of(state);
      }
    }
    return Optional.empty();
  }
}
