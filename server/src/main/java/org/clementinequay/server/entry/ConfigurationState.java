package org.clementinequay.server.entry;

import java.util.List;
import java.util.Optional;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.config.Upstream;
import org.clementinequay.core.config.VersionSpec;
import org.clementinequay.core.config.VersionState;
import org.clementinequay.core.rollout.LocalRolloutMonitor;
import org.clementinequay.core.spread.CurrentRevision;
import org.clementinequay.core.spread.StalenessRule;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.pipeline.ActiveConfiguration;
import org.clementinequay.server.pipeline.ConfigurationSource;

/** The configuration in force on this host as requests see it, and the versions it has stopped. */
final class ConfigurationState implements ConfigurationSource {
  private final StalenessRule staleness;
  private final LocalRolloutMonitor brake;
  private volatile ActiveConfiguration active;

  ConfigurationState(CurrentRevision keeper, LocalRolloutMonitor brake, RuntimeClock clock) {
    this.brake = brake;
    this.staleness = new StalenessRule(keeper, clock);
    keeper.addListener(this::apply);
  }

  private void apply(RevisionedConfiguration revision) {
    active = new ActiveConfiguration(revision);
  }

  /** Returns the versions that this host's or a peer's brake stopped. */
  List<ModelVersion> stopped() {
    ActiveConfiguration current = active;
    return current == null
        ? List.of()
        : current.document().models().stream()
            .flatMap(
                model ->
                    model.versions().stream()
                        .map(version -> new ModelVersion(model.name(), version.name())))
            .filter(brake::isStopped)
            .sorted()
            .toList();
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
    return state.isPresent() && staleness.permits(state.get()) && !brake.isStopped(version);
  }

  private static Optional<VersionState> state(ActiveConfiguration in, ModelVersion version) {
    return in.document().version(version).map(VersionSpec::state);
  }
}
