package org.clementinequay.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.clementinequay.core.Incarnation;

/**
 * Shares of one account's limits, as a bounded counter (Balegas and others, 2015): every host has a
 * base share by its size, and only its holder gives a share away. A receiver can miss a gift but
 * never invent one, so the shares in use never add up to more than the whole within one set of
 * members, whatever is lost, repeated or reordered. Not thread-safe.
 */
final class ShareLedger {
  /** Part of its base share that a host does not give away, so that a first burst is served. */
  private static final double KEPT_BASE = 0.25;

  /** Peers that were not heard of for this long are given nothing, in nanoseconds. */
  private static final long SILENT_NANOS = 5_000_000_000L;

  /** Gifts below this part of the limits are not worth a message. */
  private static final double SMALLEST_GIFT = 0.001;

  private final Incarnation self;
  private final Map<Incarnation, Double> base;
  private final Map<Incarnation, Map<Incarnation, Double>> granted = new HashMap<>();
  private final Map<Incarnation, Heard> heard = new HashMap<>();

  /**
   * Creates the ledger of one account.
   *
   * @param base base shares of all members; they add up to one
   */
  ShareLedger(Incarnation self, Map<Incarnation, Double> base) {
    this.self = self;
    this.base = base;
  }

  /** Returns the share that a host has according to the gifts known here. */
  double share(Incarnation host) {
    double share = base.getOrDefault(host, 0.0);
    for (Map.Entry<Incarnation, Map<Incarnation, Double>> giver : granted.entrySet()) {
      for (Map.Entry<Incarnation, Double> gift : giver.getValue().entrySet()) {
        share += gift.getKey().equals(host) ? gift.getValue() : 0;
        share -= giver.getKey().equals(host) ? gift.getValue() : 0;
      }
    }
    return Math.max(0, share);
  }

  double own() {
    return share(self);
  }

  Map<Incarnation, Double> ownGifts() {
    return granted.getOrDefault(self, Map.of());
  }

  /** Takes up a peer's totals; smaller ones are older and change nothing. */
  void merge(Incarnation peer, LimitReport.AccountUsage usage, long nowNanos) {
    Map<Incarnation, Double> gifts = granted.computeIfAbsent(peer, key -> new HashMap<>());
    usage.granted().forEach((to, total) -> gifts.merge(to, total, Math::max));
    heard.put(peer, new Heard(usage.demand(), nowNanos));
  }

  /**
   * Gives spare share to peers below their target.
   *
   * @param ownDemand requests per second that arrive here
   * @param limit requests per second over all hosts
   */
  void give(double ownDemand, double limit, long nowNanos) {
    Map<Incarnation, Double> demands = new TreeMap<>();
    base.keySet().forEach(host -> demands.put(host, demandOf(host, ownDemand)));
    double needed = demands.values().stream().mapToDouble(d -> d / limit).sum();
    Map<Incarnation, Double> targets = new TreeMap<>();
    demands.forEach((host, demand) -> targets.put(host, target(host, demand / limit, needed)));
    double spare = own() - targets.get(self);
    if (spare < SMALLEST_GIFT) {
      return;
    }
    Map<Incarnation, Double> lacking = new TreeMap<>();
    targets.forEach(
        (host, target) -> {
          Heard last = heard.get(host);
          if (last != null && nowNanos - last.atNanos() < SILENT_NANOS) {
            lacking.put(host, Math.max(0, target - share(host)));
          }
        });
    double total = lacking.values().stream().mapToDouble(Double::doubleValue).sum();
    double part = Math.min(1, spare / Math.max(total, 1e-12));
    lacking.forEach(
        (host, lack) -> {
          if (lack * part >= SMALLEST_GIFT) {
            granted
                .computeIfAbsent(self, key -> new HashMap<>())
                .merge(host, lack * part, Double::sum);
          }
        });
  }

  /** Share by need; what is left over, and the part that nobody gives away, goes by size. */
  private double target(Incarnation host, double need, double needed) {
    double size = base.get(host);
    double byNeed = needed >= 1 ? need / needed : need + (1 - needed) * size;
    return KEPT_BASE * size + (1 - KEPT_BASE) * byNeed;
  }

  private double demandOf(Incarnation host, double ownDemand) {
    if (host.equals(self)) {
      return ownDemand;
    }
    Heard last = heard.get(host);
    return last == null ? 0 : last.demand();
  }

  private record Heard(double demand, long atNanos) {}
}
