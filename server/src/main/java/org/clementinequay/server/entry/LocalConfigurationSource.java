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

/** Provides requests with the configuration in force on this host and the usable versions. */
final class LocalConfigurationSource implements ConfigurationSource {
  private final StalenessRule stalenessRule;
  private final LocalRolloutMonitor rolloutMonitor;
  private volatile ActiveConfiguration active;

  LocalConfigurationSource(
      CurrentRevision currentRevision, LocalRolloutMonitor rolloutMonitor, RuntimeClock clock) {
    this.rolloutMonitor = rolloutMonitor;
    this.stalenessRule = new StalenessRule(currentRevision, clock);
    currentRevision.addListener(this::activate);
  }

  private void activate(RevisionedConfiguration revision) {
    active = new ActiveConfiguration(revision);
  }

  /** Returns the configured versions that this host or a peer stopped, sorted. */
  List<ModelVersion> stoppedVersions() {
    ActiveConfiguration current = active;
    return current == null
        ? List.of()
        : current.document().models().stream()
            .flatMap(
                model ->
                    model.versions().stream()
                        .map(version -> new ModelVersion(model.name(), version.name())))
            .filter(rolloutMonitor::isStopped)
            .sorted()
            .toList();
  }

  /** Returns the upstreams of the configuration in force; empty before the first one. */
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
    return state.isPresent()
        && stalenessRule.permits(state.get())
        && !rolloutMonitor.isStopped(version);
  }

  private static Optional<VersionState> state(
      ActiveConfiguration configuration, ModelVersion version) {
    return configuration.document().version(version).map(VersionSpec::state);
  }
}
