package org.clementinequay.core.config;

import java.util.Locale;
import java.util.Optional;

/** Life cycle state of a model version. */
public enum VersionState {
  /** Takes a share of the new sessions and requests. */
  ROLLING_OUT(true, true),
  /** In full service. */
  LIVE(true, true),
  /** Takes no new sessions; bound sessions go on. */
  CLOSING(false, true),
  /** Takes no new work at all. */
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

  /** Returns the word used in documents. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the state of the given word. */
  public static Optional<VersionState> ofLabel(String label) {
    for (VersionState state : values()) {
      if (state.label().equals(label)) {
        return Optional.of(state);
      }
    }
    return Optional.empty();
  }
}
