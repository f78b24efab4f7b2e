package org.clementinequay.server.entry;

import java.util.Locale;
import java.util.Optional;
import org.clementinequay.core.dispatch.UpstreamHealthTracker;

/** State of an upstream that an entry host reports to its peers. */
enum UpstreamState {
  EJECTED {
    @Override
    void apply(UpstreamHealthTracker health, String upstream) {
      health.recordPeerEjection(upstream);
    }
  },
  LEAVING {
    @Override
    void apply(UpstreamHealthTracker health, String upstream) {
      health.setLeaving(upstream, true);
    }
  },
  STAYING {
    @Override
    void apply(UpstreamHealthTracker health, String upstream) {
      health.setLeaving(upstream, false);
    }
  };

  /** Applies the reported state to the health information of this host. */
  abstract void apply(UpstreamHealthTracker health, String upstream);

  String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the state with the given label, or empty for a label of a later release. */
  static Optional<UpstreamState> fromLabel(String label) {
    for (UpstreamState state : values()) {
      if (state.label().equals(label)) {
        return Optional.of(state);
      }
    }
    return Optional.empty();
  }
}
