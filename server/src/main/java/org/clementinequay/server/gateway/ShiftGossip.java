package org.clementinequay.server.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.clementinequay.core.rollout.TrafficShift;
import org.clementinequay.core.rollout.VersionCounts;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;

/**
 * Exchanges evidence on traffic shifts with the peers, at an interval and at once when a version is
 * found worse. Each host sees only a few answers of a version with a small share; together the
 * hosts see enough.
 */
final class ShiftGossip implements PeerNetwork.Listener {
  /** Time between two messages about a traffic shift. */
  private static final long INTERVAL_NANOS = 500_000_000L;

  private final Gateway gateway;
  private final PeerNetwork peers;
  private final Map<String, Long> lastBroadcastNanos = new HashMap<>();
  private final Map<String, String> broadcastStopReasons = new HashMap<>();

  ShiftGossip(Gateway gateway, PeerNetwork peers) {
    this.gateway = gateway;
    this.peers = peers;
    peers.addListener(this);
  }

  /**
   * Broadcasts the evidence on traffic shifts whose message is due. Must be called by one thread.
   *
   * @param shifts traffic shifts that have not ended
   */
  void broadcast(List<TrafficShift> shifts, long nowNanos) {
    for (TrafficShift shift : shifts) {
      String service = shift.order().service();
      String stopReason = shift.reason();
      boolean newStopReason =
          !stopReason.isEmpty() && !stopReason.equals(broadcastStopReasons.get(service));
      Long lastNanos = lastBroadcastNanos.get(service);
      if (newStopReason || lastNanos == null || nowNanos - lastNanos >= INTERVAL_NANOS) {
        lastBroadcastNanos.put(service, nowNanos);
        broadcastStopReasons.put(service, stopReason);
        peers.broadcast(encode(shift, nowNanos));
      }
    }
  }

  private static PeerMessage.ShiftNews encode(TrafficShift shift, long nowNanos) {
    List<PeerMessage.ShiftCount> counts = new ArrayList<>();
    shift
        .evidence()
        .forEach(
            (host, evidence) -> {
              addCounts(counts, host, true, evidence.target());
              addCounts(counts, host, false, evidence.others());
            });
    return new PeerMessage.ShiftNews(
        shift.order().service(),
        shift.order().revision(),
        shift.ageMillis(nowNanos),
        shift.reason(),
        counts);
  }

  private static void addCounts(
      List<PeerMessage.ShiftCount> counts,
      String host,
      boolean target,
      Map<String, VersionCounts> byRoute) {
    byRoute.forEach(
        (route, count) ->
            counts.add(
                new PeerMessage.ShiftCount(
                    host, route, target, count.answers(), count.errors(), count.bad())));
  }

  @Override
  public void received(PeerNetwork.Peer from, PeerMessage message) {
    if (message instanceof PeerMessage.ShiftNews news) {
      gateway
          .shift(news.service())
          .filter(shift -> shift.order().revision() == news.order())
          .ifPresent(shift -> merge(shift, news));
    }
  }

  private void merge(TrafficShift shift, PeerMessage.ShiftNews news) {
    Map<String, TrafficShift.Evidence> byHost = new HashMap<>();
    for (PeerMessage.ShiftCount count : news.counts()) {
      TrafficShift.Evidence evidence =
          byHost.computeIfAbsent(count.host(), h -> TrafficShift.Evidence.empty());
      VersionCounts counts =
          new VersionCounts(count.answers(), count.errors(), count.answers(), count.slow());
      (count.target() ? evidence.target() : evidence.others()).put(count.route(), counts);
    }
    byHost.remove(gateway.hostName);
    byHost.forEach(shift::mergeEvidence);
    shift.moveStartTo(gateway.clock.nanoTime() - news.ageMillis() * 1_000_000);
    if (!news.stopped().isEmpty()) {
      shift.recordPeerStop(news.stopped());
    }
  }
}
