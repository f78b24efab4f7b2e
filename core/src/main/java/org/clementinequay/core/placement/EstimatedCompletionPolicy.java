package org.clementinequay.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.clementinequay.core.SplitMix64;

/**
 * Chooses the upstream with the shortest estimated completion time, which is the sum of the network
 * round trip, the wait behind outstanding requests, and the generation at the measured speed.
 * Outstanding are the requests of this host, those that its peers announced, and further ones that
 * only the last load report of the upstream shows. Requests with an affinity key go to the upstream
 * that rendezvous hashing assigns to the key, unless its estimate exceeds the best by more than a
 * fixed factor.
 */
public final class EstimatedCompletionPolicy implements PlacementPolicy {
  /** Greatest ratio of the preferred upstream's estimate to the best one. */
  private static final double MAX_AFFINITY_RATIO = 1.25;

  /**
   * Time constant of the exponential decay of work that only a load report showed, in nanoseconds.
   */
  private static final double REPORT_DECAY_NANOS = 2e9;

  /** Generation time per token, in milliseconds, that is assumed until one has been measured. */
  private static final double DEFAULT_MILLIS_PER_TOKEN = 20;

  @Override
  public Optional<Placement> choose(PlacementRequest request, List<UpstreamView> upstreams) {
    double meanMillisPerToken = meanMillisPerToken(upstreams);
    UpstreamView best = null;
    UpstreamView preferred = null;
    double bestMillis = Double.POSITIVE_INFINITY;
    long bestHash = 0;
    for (UpstreamView view : upstreams) {
      double millis = completionMillis(request, view, meanMillisPerToken);
      if (best == null || millis < bestMillis) {
        best = view;
        bestMillis = millis;
      }
      OptionalLong affinityKey = request.affinityKey();
      long hash =
          affinityKey.isPresent()
              ? SplitMix64.mix(affinityKey.getAsLong() ^ SplitMix64.mix(view.name().hashCode()))
              : 0;
      if (affinityKey.isPresent() && (preferred == null || hash > bestHash)) {
        preferred = view;
        bestHash = hash;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    UpstreamView chosen = best;
    if (preferred != null
        && completionMillis(request, preferred, meanMillisPerToken)
            <= MAX_AFFINITY_RATIO * bestMillis) {
      chosen = preferred;
    }
    return Optional.of(
        new Placement(
            chosen.name(),
            completionMillis(request, chosen, meanMillisPerToken),
            waitMillis(request, chosen, millisPerToken(chosen, meanMillisPerToken))));
  }

  private static double completionMillis(
      PlacementRequest request, UpstreamView view, double meanMillisPerToken) {
    double millisPerToken = millisPerToken(view, meanMillisPerToken);
    return view.roundTripNanos() / 1e6
        + waitMillis(request, view, millisPerToken)
        + Math.max(1, request.completionTokens()) * millisPerToken;
  }

  /** Estimates the time until a slot is free, if requests are served in order of arrival. */
  private static double waitMillis(
      PlacementRequest request, UpstreamView view, double millisPerToken) {
    int slots = Math.max(1, view.slots());
    double requestsAhead = outstanding(view, request.nowNanos()) + 1 - slots;
    if (requestsAhead <= 0) {
      return 0;
    }
    double tokensPerRequest =
        view.ownOutstanding() > 0
            ? view.ownOutstandingTokens() / view.ownOutstanding()
            : request.completionTokens();
    return requestsAhead / slots * Math.max(1, tokensPerRequest) * millisPerToken;
  }

  private static double outstanding(UpstreamView view, long nowNanos) {
    double known = view.ownOutstanding() + view.peerOutstanding();
    if (view.report().isEmpty()) {
      return known;
    }
    LoadReport report = view.report().get();
    double reportedOnly =
        Math.max(0, report.outstanding() - view.ownAtReport() - view.peerAtReport());
    double ageNanos = Math.max(0, nowNanos - report.reportedAtNanos());
    return known + reportedOnly * Math.exp(-ageNanos / REPORT_DECAY_NANOS);
  }

  private static double millisPerToken(UpstreamView view, double meanMillisPerToken) {
    return view.millisPerToken() > 0 ? view.millisPerToken() : meanMillisPerToken;
  }

  private static double meanMillisPerToken(List<UpstreamView> upstreams) {
    return upstreams.stream()
        .mapToDouble(UpstreamView::millisPerToken)
        .filter(millis -> millis > 0)
        .average()
        .orElse(DEFAULT_MILLIS_PER_TOKEN);
  }
}
