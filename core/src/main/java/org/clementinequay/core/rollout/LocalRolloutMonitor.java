package org.clementinequay.core.rollout;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.clementinequay.core.ModelVersion;

/**
 * Stops a version that is being rolled out, for this entry host only and from this host's own
 * counts, so that a stop needs neither the platform nor a peer. A stop remains in effect until the
 * configuration no longer rolls the version out. Safe for concurrent use.
 */
public final class LocalRolloutMonitor {
  /**
   * Upper bound on the probability that the monitor of any host stops a version that is not worse
   * than the live one.
   */
  public static final double MAX_FALSE_STOP_PROBABILITY = 0.005;

  private final double alpha;
  private final Map<ModelVersion, VersionCounts> counts = new ConcurrentHashMap<>();
  private final Map<ModelVersion, String> stopped = new ConcurrentHashMap<>();

  /**
   * Creates a monitor.
   *
   * @param hosts number of entry hosts; each gets an equal part of {@link
   *     #MAX_FALSE_STOP_PROBABILITY}
   */
  public LocalRolloutMonitor(int hosts) {
    this.alpha = MAX_FALSE_STOP_PROBABILITY / Math.max(1, hosts);
  }

  /** Adds counts of this host for a version. */
  public void add(ModelVersion version, VersionCounts evidence) {
    counts.merge(version, evidence, VersionCounts::plus);
  }

  /** Returns this host's counts for a version since the last reset; zeros if there are none. */
  public VersionCounts counts(ModelVersion version) {
    return counts.getOrDefault(version, VersionCounts.NONE);
  }

  /**
   * Compares a version that is being rolled out with the live one and stops it if it is
   * significantly worse.
   *
   * @return a summary of the counts to send to the peers, if this call stopped the version
   */
  public Optional<String> stopIfWorse(ModelVersion candidate, ModelVersion live) {
    VersionCounts candidateCounts = counts(candidate);
    if (stopped.containsKey(candidate) || !candidateCounts.isProvedWorseThan(counts(live), alpha)) {
      return Optional.empty();
    }
    String evidence = candidateCounts.summary() + "; " + live + " " + counts(live).summary();
    return stopped.putIfAbsent(candidate, evidence) == null
        ? Optional.of(evidence)
        : Optional.empty();
  }

  /** Stops a version because a peer stopped it; an earlier stop keeps its evidence. */
  public void recordPeerStop(ModelVersion version, String evidence) {
    stopped.putIfAbsent(version, evidence);
  }

  /** Returns whether the version is stopped, so that it gets no new sessions on this host. */
  public boolean isStopped(ModelVersion version) {
    return stopped.containsKey(version);
  }

  /**
   * Removes the stop and all counts of a version; called when its roll-out begins or ends. The live
   * version's counts are removed too, so that both versions are compared over the same period.
   */
  public void reset(ModelVersion candidate, ModelVersion live) {
    stopped.remove(candidate);
    counts.remove(candidate);
    counts.remove(live);
  }
}
