package org.clementinequay.server.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.clementinequay.core.rollout.EvidencePacer;
import org.clementinequay.core.rollout.TrafficShift;
import org.clementinequay.core.rollout.VersionCounts;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;

/**
 * Exchanges evidence on traffic shifts with the peers, at an interval and at once when a version is
 * found worse or gets all traffic. Each host sees only a few answers of a version with a small
 * share; together the hosts see enough. A host sends its own counts to the hosts of its failure
 * domain, and to its peers in other domains the sum over its domain, so that the size of a message
 * does not grow with the number of hosts. Of several sums of a domain the one with the most answers
 * counts. Hosts also tell each other which sessions they hold on the old version, on the same ways.
 */
final class ShiftGossip implements PeerNetwork.Listener {
  /** Marks a source that is a failure domain and not a host. */
  private static final String DOMAIN_PREFIX = "domain:";

  /** Most sessions of a message; the others follow in later ones. */
  private static final int MAX_SESSIONS_OF_A_MESSAGE = 256;

  private final Gateway gateway;
  private final PeerBroadcast links;
  private final Map<String, SentEvidence> sentByService = new HashMap<>();

  /** What was sent about one traffic shift. */
  private static final class SentEvidence {
    private final long order;
    private final EvidencePacer pacer = new EvidencePacer();
    private TrafficShift.Evidence own = TrafficShift.Evidence.empty();
    private TrafficShift.Evidence ofDomain = TrafficShift.Evidence.empty();
    private final SentSessions ownSessions = new SentSessions();
    private final SentSessions sessionsOfDomain = new SentSessions();
    private String stopReason = "";
    private boolean lastStage;

    private SentEvidence(long order) {
      this.order = order;
    }
  }

  /** Sessions that were sent to the same peers. */
  private static final class SentSessions {
    private final Set<Long> sent = new HashSet<>();

    /** Returns sessions to send: new ones, or the last ones if there are none. */
    private List<Long> next(List<Long> held, boolean again) {
      List<Long> result =
          held.stream().filter(s -> !sent.contains(s)).limit(MAX_SESSIONS_OF_A_MESSAGE).toList();
      sent.addAll(result);
      return result.isEmpty() && again
          ? held.subList(Math.max(0, held.size() - MAX_SESSIONS_OF_A_MESSAGE), held.size())
          : result;
    }
  }

  ShiftGossip(Gateway gateway, PeerBroadcast links) {
    this.gateway = gateway;
    this.links = links;
  }

  /**
   * Broadcasts the evidence on traffic shifts whose message is due. Must be called by one thread.
   *
   * @param shifts traffic shifts that have not ended
   */
  void broadcast(List<TrafficShift> shifts, long nowNanos) {
    for (TrafficShift shift : shifts) {
      SentEvidence sent =
          sentByService.compute(
              shift.order().service(),
              (service, known) ->
                  known != null && known.order == shift.order().revision()
                      ? known
                      : new SentEvidence(shift.order().revision()));
      boolean lastStage = shift.inLastStage(nowNanos);
      boolean newDecision = !shift.reason().equals(sent.stopReason) || lastStage != sent.lastStage;
      if (newDecision || sent.pacer.isDue(nowNanos)) {
        sent.lastStage = lastStage;
        sendRound(shift, sent, newDecision, nowNanos);
      } else {
        sendHeldSessions(shift, sent, false, nowNanos);
      }
    }
  }

  private void sendRound(
      TrafficShift shift, SentEvidence sent, boolean newDecision, long nowNanos) {
    boolean always = newDecision || sent.pacer.isFullRound();
    TrafficShift.Evidence none = TrafficShift.Evidence.empty();
    TrafficShift.Evidence own = shift.sum(gateway.hostName::equals);
    TrafficShift.Evidence ofDomain = shift.sum(source -> !source.startsWith(DOMAIN_PREFIX));
    TrafficShift.Evidence newOwn = own.since(sent.pacer.isFullRound() ? none : sent.own);
    TrafficShift.Evidence newOfDomain =
        ofDomain.since(sent.pacer.isFullRound() ? none : sent.ofDomain);
    // Hosts that do not know the order yet drop what is sent in the first rounds.
    boolean allHeld = sent.pacer.isFullRound() || shift.holdsUnknownSessions(nowNanos);
    sendHeldSessions(shift, sent, allHeld, nowNanos);
    // Without the bytes of the sessions, whose number must not delay the evidence.
    long bytes = 0;
    if (always || !newOwn.isEmpty()) {
      bytes +=
          links.broadcast(
              encode(shift, gateway.hostName, newOwn, List.of(), nowNanos), this::isNear);
    }
    if (always || !newOfDomain.isEmpty()) {
      String source = DOMAIN_PREFIX + gateway.domain;
      bytes +=
          links.broadcast(
              encode(shift, source, newOfDomain, List.of(), nowNanos), peer -> !isNear(peer));
    }
    sent.own = own;
    sent.ofDomain = ofDomain;
    sent.stopReason = shift.reason();
    sent.pacer.recordRound(nowNanos, bytes);
  }

  /**
   * Sends new sessions at once, because their next requests may come to other hosts.
   *
   * @param again whether the last ones are sent again if there are no new ones
   */
  private void sendHeldSessions(
      TrafficShift shift, SentEvidence sent, boolean again, long nowNanos) {
    TrafficShift.Evidence none = TrafficShift.Evidence.empty();
    List<Long> own = sent.ownSessions.next(shift.heldSessions(false, nowNanos), again);
    if (!own.isEmpty()) {
      links.broadcast(encode(shift, gateway.hostName, none, own, nowNanos), this::isNear);
    }
    List<Long> ofDomain = sent.sessionsOfDomain.next(shift.heldSessions(true, nowNanos), again);
    if (!ofDomain.isEmpty()) {
      String source = DOMAIN_PREFIX + gateway.domain;
      links.broadcast(encode(shift, source, none, ofDomain, nowNanos), peer -> !isNear(peer));
    }
  }

  private boolean isNear(PeerNetwork.Peer peer) {
    return peer.domain().equals(gateway.domain);
  }

  private static PeerMessage.ShiftNews encode(
      TrafficShift shift,
      String source,
      TrafficShift.Evidence evidence,
      List<Long> heldSessions,
      long nowNanos) {
    List<PeerMessage.ShiftCount> counts = new ArrayList<>();
    addCounts(counts, source, true, evidence.target());
    addCounts(counts, source, false, evidence.others());
    return new PeerMessage.ShiftNews(
        shift.order().service(),
        shift.order().revision(),
        shift.ageMillis(nowNanos),
        shift.reason(),
        shift.inLastStage(nowNanos),
        counts,
        heldSessions);
  }

  private static void addCounts(
      List<PeerMessage.ShiftCount> counts,
      String source,
      boolean target,
      Map<String, VersionCounts> byRoute) {
    byRoute.forEach(
        (route, count) ->
            counts.add(
                new PeerMessage.ShiftCount(
                    source, route, target, count.answers(), count.errors(), count.bad())));
  }

  @Override
  public void received(PeerNetwork.Peer from, PeerMessage message) {
    if (message instanceof PeerMessage.ShiftNews news) {
      gateway
          .shift(news.service())
          .filter(shift -> shift.order().revision() == news.order())
          .ifPresent(shift -> merge(shift, from, news));
    }
  }

  private void merge(TrafficShift shift, PeerNetwork.Peer from, PeerMessage.ShiftNews news) {
    // Hosts of an earlier release also pass on the counts of other hosts, which are counted here in
    // the sums of their domains.
    String source = isNear(from) ? from.host() : DOMAIN_PREFIX + from.domain();
    TrafficShift.Evidence evidence = TrafficShift.Evidence.empty();
    for (PeerMessage.ShiftCount count : news.counts()) {
      if (count.host().equals(source)) {
        VersionCounts counts =
            new VersionCounts(count.answers(), count.errors(), count.answers(), count.slow());
        (count.target() ? evidence.target() : evidence.others()).put(count.route(), counts);
      }
    }
    shift.mergeEvidence(source, evidence);
    if (news.heldSessions() != null) {
      shift.mergeHeldSessions(news.heldSessions(), isNear(from));
    }
    shift.moveStartTo(gateway.clock.nanoTime() - news.ageMillis() * 1_000_000);
    if (news.lastStage()) {
      shift.recordPeerLastStage(gateway.clock.nanoTime());
    }
    if (!news.stopped().isEmpty()) {
      shift.recordPeerStop(news.stopped());
    }
  }
}
