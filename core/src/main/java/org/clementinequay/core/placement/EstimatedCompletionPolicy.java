package org.clementinequay.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.clementinequay.core.SplitMix64;

/**
 * Chooses the upstream with the least estimated completion time: distance, wait behind the
 * outstanding work of this host, its peers and others seen in the last report, and generation at
 * the learned speed. Requests with an affinity key go to the upstream that rendezvous hashing gives
 * the key, unless its estimate exceeds the best by more than a bound.
 */
public final class EstimatedCompletionPolicy implements PlacementPolicy {
  /** Factor by which the preferred upstream's estimate may exceed the best one. */
  private static final double AFFINITY_BOUND = 1.25;

  /** Time constant at which work that only a report showed is forgotten, in nanoseconds. */
  private static final double REPORT_DECAY_NANOS = 2e9;

  /** Speed assumed where no upstream's speed was learned, in milliseconds per token. */
  private static final double DEFAULT_MILLIS_PER_TOKEN = 20;

  @Override
  public Optional<Placement> choose(PlacementRequest request, List<UpstreamView> upstreams) {
    double usual = usualMillisPerToken(upstreams);
    UpstreamView best = null;
    UpstreamView preferred = null;
    double bestMillis = Double.POSITIVE_INFINITY;
    long bestHash = 0;
    for (UpstreamView view : upstreams) {
      double millis = completionMillis(request, view, usual);
      if (best == null || millis < bestMillis) {
        best = view;
        bestMillis = millis;
      }
      OptionalLong key = request.affinityKey();
      long hash =
          key.isPresent()
              ? SplitMix64.mix(key.getAsLong() ^ SplitMix64.mix(view.name().hashCode()))
              : 0;
      if (key.isPresent() && (preferred == null || hash > bestHash)) {
        preferred = view;
        bestHash = hash;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    UpstreamView chosen = best;
    if (preferred != null
        && completionMillis(request, preferred, usual) <= AFFINITY_BOUND * bestMillis) {
      chosen = preferred;
    }
    return Optional.of(
        new Placement(
            chosen.name(),
            completionMillis(request, chosen, usual),
            waitMillis(request, chosen, speed(chosen, usual))));
  }

  private static double completionMillis(
      PlacementRequest request, UpstreamView view, double usual) {
    double speed = speed(view, usual);
    return view.roundTripNanos() / 1e6
        + waitMillis(request, view, speed)
        + Math.max(1, request.completionTokens()) * speed;
  }

  /** Time until a slot is free, if work is served in the order of arrival. */
  private static double waitMillis(PlacementRequest request, UpstreamView view, double speed) {
    int slots = Math.max(1, view.slots());
    double ahead = outstanding(view, request.nowNanos()) + 1 - slots;
    if (ahead <= 0) {
      return 0;
    }
    double tokens =
        view.ownOutstanding() > 0
            ? view.ownOutstandingTokens() / view.ownOutstanding()
            : request.completionTokens();
    return ahead / slots * Math.max(1, tokens) * speed;
  }

  private static double outstanding(UpstreamView view, long nowNanos) {
    double known = view.ownOutstanding() + view.peerOutstanding();
    if (view.report().isEmpty()) {
      return known;
    }
    LoadReport report = view.report().get();
    double unknown = Math.max(0, report.outstanding() - view.ownAtReport() - view.peerAtReport());
    double age = Math.max(0, nowNanos - report.reportedAtNanos());
    return known + unknown * Math.exp(-age / REPORT_DECAY_NANOS);
  }

  private static double speed(UpstreamView view, double usual) {
    return view.millisPerToken() > 0 ? view.millisPerToken() : usual;
  }

  private static double usualMillisPerToken(List<UpstreamView> upstreams) {
    return upstreams.stream()
        .mapToDouble(UpstreamView::millisPerToken)
        .filter(speed -> speed > 0)
        .average()
        .orElse(DEFAULT_MILLIS_PER_TOKEN);
  }
}
