package org.clementinequay.server.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.config.VersionSpec;
import org.clementinequay.core.config.VersionState;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.pipeline.ActiveConfiguration;
import org.clementinequay.server.pipeline.ConfigurationSource;

/** The configuration in force on this host, its age, and the versions that the brake stopped. */
public final class ConfigurationState implements ConfigurationSource {
  /**
   * Age after which versions being rolled out are no longer used; the limit on new work for a bad
   * version while this host cannot learn of its withdrawal.
   */
  public static final Duration STALE_AFTER = Duration.ofSeconds(15);

  private final RuntimeClock clock;
  private final Set<ModelVersion> stopped = ConcurrentHashMap.newKeySet();
  private volatile ActiveConfiguration active;
  private volatile long refreshedNanos;

  /** Creates a state without configuration. */
  public ConfigurationState(RuntimeClock clock) {
    this.clock = clock;
  }

  /** Puts a revision in force; a lower one than the present is ignored. */
  public synchronized boolean apply(ActiveConfiguration newer) {
    if (active != null && newer.revision() <= active.revision()) {
      return false;
    }
    active = newer;
    return true;
  }

  /** Records that the head of the configuration was read just now. */
  public void refreshed() {
    refreshedNanos = clock.nanoTime();
  }

  /** Stops new work on a version until a newer revision changes its state. */
  public boolean stop(ModelVersion version) {
    return stopped.add(version);
  }

  /** Returns the versions that the brake stopped. */
  public Set<ModelVersion> stopped() {
    return Set.copyOf(stopped);
  }

  /** Returns the time since the last successful refresh. */
  public Duration age() {
    return Duration.ofNanos(clock.nanoTime() - refreshedNanos);
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
    Optional<VersionState> state = current.document().version(version).map(VersionSpec::state);
    if (state.isEmpty() || state.get() != VersionState.ROLLING_OUT) {
      return state.isPresent();
    }
    return !stopped.contains(version) && age().compareTo(STALE_AFTER) < 0;
  }
}
