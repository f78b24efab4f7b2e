package org.clementinequay.server.entry;

import java.util.Locale;
import java.util.Optional;
import org.clementinequay.core.dispatch.UpstreamHealthTracker;

/** What one entry host tells its peers of an upstream. */
enum UpstreamState {
  EJECTED {
    @Override
    void apply(UpstreamHealthTracker table, String upstream) {
      table.recordPeerEjection(upstream);
    }
  },
  LEAVING {
    @Override
    void apply(UpstreamHealthTracker table, String upstream) {
      table.setLeaving(upstream, true);
    }
  },
  STAYING {
    @Override
    void apply(UpstreamHealthTracker table, String upstream) {
      table.setLeaving(upstream, false);
    }
  };

  /** Takes the news up in what this host knows. */
  abstract void apply(UpstreamHealthTracker table, String upstream);

  String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the state of the given label; empty for one of a later release. */
  static Optional<UpstreamState> ofLabel(String label) {
    for (UpstreamState state : values()) {
      if (state.label().equals(label)) {
        return Optional.of(state);
      }
    }
    return Optional.empty();
  }
}
