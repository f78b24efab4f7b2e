package org.clementinequay.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.clementinequay.core.Incarnation;

/**
 * Shares of one account's limits, kept as a bounded counter (Balegas et al., 2015): each host
 * starts with a base share in proportion to its size, and only the holder of a share can grant it
 * to another host. A receiver may miss a grant but cannot receive one that was not made, so within
 * one set of members the shares in use never add up to more than 1, whichever reports are lost,
 * repeated or reordered. Not thread-safe.
 */
final class ShareLedger {
  /** Fraction of its base share that a host keeps, so that it can serve a first burst. */
  private static final double RESERVED_BASE_FRACTION = 0.25;

  /** Peers without a report in this period get no grants, in nanoseconds: 5 seconds. */
  private static final long MAX_REPORT_AGE_NANOS = 5_000_000_000L;

  /** Grants below this fraction of the limits are not made, as they do not justify a message. */
  private static final double MIN_GRANT = 0.001;

  private final Incarnation self;
  private final Map<Incarnation, Double> baseShares;
  private final Map<Incarnation, Map<Incarnation, Double>> granted = new HashMap<>();
  private final Map<Incarnation, PeerReport> peerReports = new HashMap<>();

  /**
   * Creates the ledger of one account.
   *
   * @param baseShares base shares of all members, which add up to 1
   */
  ShareLedger(Incarnation self, Map<Incarnation, Double> baseShares) {
    this.self = self;
    this.baseShares = baseShares;
  }

  /** Returns the share of a host according to the grants known here, never negative. */
  double share(Incarnation host) {
    double share = baseShares.getOrDefault(host, 0.0);
    for (Map.Entry<Incarnation, Map<Incarnation, Double>> grantor : granted.entrySet()) {
      for (Map.Entry<Incarnation, Double> grant : grantor.getValue().entrySet()) {
        share += grant.getKey().equals(host) ? grant.getValue() : 0;
        share -= grantor.getKey().equals(host) ? grant.getValue() : 0;
      }
    }
    return Math.max(0, share);
  }

  double ownShare() {
    return share(self);
  }

  Map<Incarnation, Double> ownGrants() {
    return granted.getOrDefault(self, Map.of());
  }

  /** Merges a peer's cumulative grants and its demand; a smaller total is older and is ignored. */
  void merge(Incarnation peer, LimitReport.AccountUsage usage, long nowNanos) {
    Map<Incarnation, Double> grants = granted.computeIfAbsent(peer, key -> new HashMap<>());
    usage.granted().forEach((to, total) -> grants.merge(to, total, Math::max));
    peerReports.put(peer, new PeerReport(usage.demand(), nowNanos));
  }

  /**
   * Grants this host's spare share to peers whose share is below their target.
   *
   * @param ownDemand requests per second that arrive at this host
   * @param limit rate limit over all hosts, in requests per second
   */
  void grantSpareShare(double ownDemand, double limit, long nowNanos) {
    Map<Incarnation, Double> demands = new TreeMap<>();
    baseShares.keySet().forEach(host -> demands.put(host, demandAt(host, ownDemand)));
    double totalDemandFraction = demands.values().stream().mapToDouble(d -> d / limit).sum();
    Map<Incarnation, Double> targets = new TreeMap<>();
    demands.forEach(
        (host, demand) ->
            targets.put(host, targetShare(host, demand / limit, totalDemandFraction)));
    double spare = ownShare() - targets.get(self);
    if (spare < MIN_GRANT) {
      return;
    }
    Map<Incarnation, Double> deficits = new TreeMap<>();
    targets.forEach(
        (host, target) -> {
          PeerReport last = peerReports.get(host);
          if (last != null && nowNanos - last.receivedNanos() < MAX_REPORT_AGE_NANOS) {
            deficits.put(host, Math.max(0, target - share(host)));
          }
        });
    double totalDeficit = deficits.values().stream().mapToDouble(Double::doubleValue).sum();
    double fraction = Math.min(1, spare / Math.max(totalDeficit, 1e-12));
    deficits.forEach(
        (host, deficit) -> {
          if (deficit * fraction >= MIN_GRANT) {
            granted
                .computeIfAbsent(self, key -> new HashMap<>())
                .merge(host, deficit * fraction, Double::sum);
          }
        });
  }

  /**
   * Returns the share that a host should have: the reserved part of its base share, and of the rest
   * a share in proportion to its demand. If the hosts do not need the whole, what remains is
   * divided by base share.
   */
  private double targetShare(Incarnation host, double demandFraction, double totalDemandFraction) {
    double baseShare = baseShares.get(host);
    double demandShare =
        totalDemandFraction >= 1
            ? demandFraction / totalDemandFraction
            : demandFraction + (1 - totalDemandFraction) * baseShare;
    return RESERVED_BASE_FRACTION * baseShare + (1 - RESERVED_BASE_FRACTION) * demandShare;
  }

  private double demandAt(Incarnation host, double ownDemand) {
    if (host.equals(self)) {
      return ownDemand;
    }
    PeerReport last = peerReports.get(host);
    return last == null ? 0 : last.demand();
  }

  private record PeerReport(double demand, long receivedNanos) {}
}
