package org.clementinequay.server.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.config.Model;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.config.VersionSpec;
import org.clementinequay.core.config.VersionState;
import org.clementinequay.core.rollout.LocalRolloutMonitor;
import org.clementinequay.core.rollout.VersionCounts;
import org.clementinequay.server.pipeline.VersionObserver;

/**
 * Counts of answers, errors and ratings of versions, from this host and its peers. The monitor of
 * this host stops a version immediately on the counts of this host alone; the stages of a roll-out
 * depend on the sum over all hosts.
 */
public final class RolloutEvidence implements VersionObserver {
  private static final VersionCounts ANSWER = new VersionCounts(1, 0, 0, 0);
  private static final VersionCounts ERROR = new VersionCounts(1, 1, 0, 0);
  private static final VersionCounts GOOD_RATING = new VersionCounts(0, 0, 1, 0);
  private static final VersionCounts BAD_RATING = new VersionCounts(0, 0, 1, 1);

  private final LocalRolloutMonitor monitor;
  private final StopListener listener;
  private final Map<Incarnation, Map<ModelVersion, VersionCounts>> countsByPeer =
      new ConcurrentHashMap<>();
  private volatile Map<ModelVersion, ModelVersion> liveByCandidate = Map.of();

  /** Called when the monitor of this host stops a version. */
  public interface StopListener {
    /** Called once for each stop, on the thread that recorded the last answer or rating. */
    void stopped(ModelVersion version, String evidence);
  }

  /** Creates an instance without counts. */
  public RolloutEvidence(LocalRolloutMonitor monitor, StopListener listener) {
    this.monitor = monitor;
    this.listener = listener;
  }

  /** Returns the first live version of a model, with which its other versions are compared. */
  public static Optional<ModelVersion> liveVersion(Model model) {
    return model.versions().stream()
        .filter(version -> version.state() == VersionState.LIVE)
        .map(version -> new ModelVersion(model.name(), version.name()))
        .findFirst();
  }

  /** Applies a configuration; the counts of roll-outs that began or ended are reset. */
  public synchronized void applyConfiguration(RouterConfiguration document) {
    Map<ModelVersion, ModelVersion> next = new HashMap<>();
    for (Model model : document.models()) {
      Optional<ModelVersion> live = liveVersion(model);
      for (VersionSpec spec : model.versions()) {
        if (live.isPresent() && spec.state() == VersionState.ROLLING_OUT) {
          next.put(new ModelVersion(model.name(), spec.name()), live.get());
        }
      }
    }
    Map<ModelVersion, ModelVersion> before = liveByCandidate;
    next.forEach(
        (candidate, live) -> {
          if (!live.equals(before.get(candidate))) {
            monitor.reset(candidate, live);
          }
        });
    before.forEach(
        (candidate, live) -> {
          if (!next.containsKey(candidate)) {
            monitor.reset(candidate, live);
          }
        });
    liveByCandidate = Map.copyOf(next);
  }

  @Override
  public void attemptEnded(ModelVersion version, boolean failed) {
    add(version, failed ? ERROR : ANSWER);
  }

  @Override
  public void answerRated(ModelVersion version, boolean good) {
    add(version, good ? GOOD_RATING : BAD_RATING);
  }

  private void add(ModelVersion version, VersionCounts counts) {
    Map<ModelVersion, ModelVersion> pairs = liveByCandidate;
    if (!pairs.containsKey(version) && !pairs.containsValue(version)) {
      return;
    }
    monitor.add(version, counts);
    ModelVersion live = pairs.get(version);
    if (live != null && (counts.errors() + counts.bad() > 0)) {
      monitor.stopIfWorse(version, live).ifPresent(evidence -> listener.stopped(version, evidence));
    }
  }

  /** Returns this host's counts of the versions under comparison, to be sent to the peers. */
  public Map<String, VersionCounts> localCounts() {
    Map<String, VersionCounts> counts = new HashMap<>();
    liveByCandidate.forEach(
        (candidate, live) -> {
          counts.put(candidate.toString(), monitor.counts(candidate));
          counts.put(live.toString(), monitor.counts(live));
        });
    return counts;
  }

  /** Sets a peer's counts, which replace its earlier ones. */
  public void setPeerCounts(Incarnation peer, Map<String, VersionCounts> counts) {
    Map<ModelVersion, VersionCounts> parsed = new HashMap<>();
    counts.forEach((version, value) -> parsed.put(ModelVersion.parse(version), value));
    countsByPeer.put(peer, parsed);
  }

  /** Removes the counts of a peer that left or failed. */
  public void removePeer(Incarnation peer) {
    countsByPeer.remove(peer);
  }

  /** Returns the sum of this host's and the linked peers' counts. */
  public VersionCounts total(ModelVersion version) {
    VersionCounts sum = monitor.counts(version);
    for (Map<ModelVersion, VersionCounts> counts : countsByPeer.values()) {
      sum = sum.plus(counts.getOrDefault(version, VersionCounts.NONE));
    }
    return sum;
  }
}
