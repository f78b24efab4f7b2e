package org.clementinequay.server.entry;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.config.Upstream;
import org.clementinequay.core.config.VersionSpec;
import org.clementinequay.core.config.VersionState;
import org.clementinequay.core.spread.RevisionKeeper;
import org.clementinequay.core.spread.StalenessRule;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.pipeline.ActiveConfiguration;
import org.clementinequay.server.pipeline.ConfigurationSource;

/** The configuration in force on this host as requests see it, and the versions it has stopped. */
final class ConfigurationState implements ConfigurationSource {
  private static final Optional<VersionState> ROLLING_OUT = Optional.of(VersionState.ROLLING_OUT);

  private final StalenessRule staleness;
  private final Set<ModelVersion> stopped = ConcurrentHashMap.newKeySet();
  private volatile ActiveConfiguration active;

  ConfigurationState(RevisionKeeper keeper, RuntimeClock clock) {
    this.staleness = new StalenessRule(keeper, clock);
    keeper.addListener(this::apply);
  }

  private void apply(RevisionedConfiguration revision) {
    ActiveConfiguration newer = new ActiveConfiguration(revision);
    active = newer;
    stopped.removeIf(version -> !state(newer, version).equals(ROLLING_OUT));
  }

  /** Stops new work on a version until a revision ends its roll-out; false if it was stopped. */
  boolean stop(ModelVersion version) {
    return stopped.add(version);
  }

  Set<ModelVersion> stopped() {
    return Set.copyOf(stopped);
  }

  /** Returns the upstreams of the configuration in force; none before the first one. */
  List<Upstream> upstreams() {
    ActiveConfiguration current = active;
    return current == null ? List.of() : current.document().upstreams();
  }

  @Override
  public Optional<ActiveConfiguration> current() {
    return Optional.ofNullable(active);
  }

  @Override
  public boolean usable(ModelVersion version) {
    ActiveConfiguration current = active;
    if (current == null) {
      return false;
    }
    Optional<VersionState> state = state(current, version);
    return state.isPresent() && staleness.permits(state.get()) && !stopped.contains(version);
  }

  private static Optional<VersionState> state(ActiveConfiguration in, ModelVersion version) {
    return in.document().version(version).map(VersionSpec::state);
  }
}
