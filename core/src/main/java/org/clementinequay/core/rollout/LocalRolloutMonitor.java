package org.clementinequay.core.rollout;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.clementinequay.core.ModelVersion;

/**
 * Stops a version that is being rolled out on this entry host alone, on this host's own evidence,
 * without the platform or any peer. A stop lasts until the configuration no longer rolls the
 * version out. Safe for concurrent use.
 */
public final class LocalRolloutMonitor {
  /** Bound of the probability that any brake of the deployment stops a version wrongly. */
  public static final double FALSE_STOPS = 0.005;

  private final double alpha;
  private final Map<ModelVersion, VersionCounts> counts = new ConcurrentHashMap<>();
  private final Map<ModelVersion, String> stopped = new ConcurrentHashMap<>();

  /**
   * Creates a brake.
   *
   * @param hosts number of entry hosts, among which the bound on false stops is divided
   */
  public LocalRolloutMonitor(int hosts) {
    this.alpha = FALSE_STOPS / Math.max(1, hosts);
  }

  /** Adds evidence on a version. */
  public void add(ModelVersion version, VersionCounts evidence) {
    counts.merge(version, evidence, VersionCounts::plus);
  }

  /** Returns this host's evidence on a version. */
  public VersionCounts counts(ModelVersion version) {
    return counts.getOrDefault(version, VersionCounts.NONE);
  }

  /**
   * Compares a version that is being rolled out with the live one.
   *
   * @return the evidence to tell the peers, if this call stopped the version
   */
  public Optional<String> stopIfWorse(ModelVersion candidate, ModelVersion live) {
    VersionCounts own = counts(candidate);
    if (stopped.containsKey(candidate) || !own.provedWorseThan(counts(live), alpha)) {
      return Optional.empty();
    }
    String evidence = own.summary() + "; " + live + " " + counts(live).summary();
    return stopped.putIfAbsent(candidate, evidence) == null
        ? Optional.of(evidence)
        : Optional.empty();
  }

  /** Stops a version because a peer's brake did. */
  public void recordPeerStop(ModelVersion version, String evidence) {
    stopped.putIfAbsent(version, evidence);
  }

  /** Returns whether the version takes no new sessions here. */
  public boolean isStopped(ModelVersion version) {
    return stopped.containsKey(version);
  }

  /**
   * Forgets a stop and all evidence, when a roll-out of the version begins or ends. The live
   * version's counts are cleared too, so that both are compared over the same time.
   */
  public void reset(ModelVersion candidate, ModelVersion live) {
    stopped.remove(candidate);
    counts.remove(candidate);
    counts.remove(live);
  }
}
