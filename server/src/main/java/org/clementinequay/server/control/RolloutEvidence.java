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
 * Evidence on versions from this host and its peers. This host's own evidence drives its brake at
 * once; the sum over hosts drives the stages.
 */
public final class RolloutEvidence implements VersionObserver {
  private static final VersionCounts ANSWER = new VersionCounts(1, 0, 0, 0);
  private static final VersionCounts ERROR = new VersionCounts(1, 1, 0, 0);
  private static final VersionCounts GOOD_RATING = new VersionCounts(0, 0, 1, 0);
  private static final VersionCounts BAD_RATING = new VersionCounts(0, 0, 1, 1);

  private final LocalRolloutMonitor brake;
  private final StopListener listener;
  private final Map<Incarnation, Map<ModelVersion, VersionCounts>> peers =
      new ConcurrentHashMap<>();
  private volatile Map<ModelVersion, ModelVersion> liveOfCandidate = Map.of();

  /** Told when this host's brake stops a version. */
  public interface StopListener {
    /** Called once for each stop. */
    void stopped(ModelVersion version, String evidence);
  }

  /** Creates evidence without counts. */
  public RolloutEvidence(LocalRolloutMonitor brake, StopListener listener) {
    this.brake = brake;
    this.listener = listener;
  }

  /** Returns the first live version of a model, which others are compared with. */
  public static Optional<ModelVersion> liveVersion(Model model) {
    return model.versions().stream()
        .filter(version -> version.state() == VersionState.LIVE)
        .map(version -> new ModelVersion(model.name(), version.name()))
        .findFirst();
  }

  /** Takes up a configuration; evidence of roll-outs that began or ended is forgotten. */
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
    Map<ModelVersion, ModelVersion> before = liveOfCandidate;
    next.forEach(
        (candidate, live) -> {
          if (!live.equals(before.get(candidate))) {
            brake.reset(candidate, live);
          }
        });
    before.forEach(
        (candidate, live) -> {
          if (!next.containsKey(candidate)) {
            brake.reset(candidate, live);
          }
        });
    liveOfCandidate = Map.copyOf(next);
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
    Map<ModelVersion, ModelVersion> compared = liveOfCandidate;
    if (!compared.containsKey(version) && !compared.containsValue(version)) {
      return;
    }
    brake.add(version, counts);
    ModelVersion live = compared.get(version);
    if (live != null && (counts.errors() + counts.bad() > 0)) {
      brake.stopIfWorse(version, live).ifPresent(evidence -> listener.stopped(version, evidence));
    }
  }

  /** Returns this host's counts of the versions under comparison, to be sent to the peers. */
  public Map<String, VersionCounts> localCounts() {
    Map<String, VersionCounts> counts = new HashMap<>();
    liveOfCandidate.forEach(
        (candidate, live) -> {
          counts.put(candidate.toString(), brake.counts(candidate));
          counts.put(live.toString(), brake.counts(live));
        });
    return counts;
  }

  /** Takes up a peer's counts, which replace its earlier ones. */
  public void setPeerCounts(Incarnation peer, Map<String, VersionCounts> counts) {
    Map<ModelVersion, VersionCounts> parsed = new HashMap<>();
    counts.forEach((version, value) -> parsed.put(ModelVersion.parse(version), value));
    peers.put(peer, parsed);
  }

  /** Forgets a peer that left or failed. */
  public void removePeer(Incarnation peer) {
    peers.remove(peer);
  }

  /** Returns the sum of this host's and the linked peers' counts. */
  public VersionCounts total(ModelVersion version) {
    VersionCounts sum = brake.counts(version);
    for (Map<ModelVersion, VersionCounts> counts : peers.values()) {
      sum = sum.plus(counts.getOrDefault(version, VersionCounts.NONE));
    }
    return sum;
  }
}
