package org.clementinequay.server.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.clementinequay.core.cascade.RateReport;
import org.clementinequay.core.limit.LimitReport;
import org.clementinequay.core.rollout.VersionCounts;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.control.RolloutEvidence;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;

/**
 * Duty that exchanges the policies' counters with the peers: use of the account limits, learned
 * pass rates, evidence on roll-outs, and outstanding work by upstream. All are states of one
 * origin, so that a lost, repeated or late message does no harm.
 */
final class PolicyExchange implements PeerNetwork.Listener, AutoCloseable {
  /** Interval of limits and outstanding work, which placement and admission react to. */
  private static final Duration INTERVAL = Duration.ofSeconds(1);

  /** Intervals between two reports of pass rates, which change slowly and are the largest. */
  private static final int RATES_EVERY = 5;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String RATES = "rates";
  private static final String LIMITS = "limits";
  private static final String EVIDENCE = "evidence";
  private static final String OUTSTANDING = "outstanding";

  private final PeerNetwork network;
  private final RequestPath path;
  private final RolloutEvidence evidence;
  private final RuntimeClock clock;
  private final ObjectMapper json = new ObjectMapper();
  private final Thread thread = new Thread(this::run, "policy-exchange");

  PolicyExchange(
      PeerNetwork network, RequestPath path, RolloutEvidence evidence, RuntimeClock clock) {
    this.evidence = evidence;
    this.network = network;
    this.path = path;
    this.clock = clock;
    thread.setDaemon(true);
  }

  void start() {
    network.addListener(this);
    thread.start();
  }

  private void run() {
    for (long turn = 0; !Thread.currentThread().isInterrupted(); turn++) {
      try {
        send(turn);
      } catch (JsonProcessingException | RuntimeException e) {
        logger.atSevere().withCause(e).log("counters cannot be sent");
      }
      try {
        clock.sleep(INTERVAL);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void send(long turn) throws JsonProcessingException {
    long now = clock.nanoTime();
    broadcast(LIMITS, path.limiter.rebalance(now));
    broadcast(OUTSTANDING, path.tracker.ownOutstanding());
    Map<String, VersionCounts> counts = evidence.localCounts();
    if (!counts.isEmpty()) {
      broadcast(EVIDENCE, counts);
    }
    if (turn % RATES_EVERY == 0) {
      broadcast(RATES, path.rates.report(now));
    }
  }

  private void broadcast(String kind, Object content) throws JsonProcessingException {
    network.broadcast(new PeerMessage.Counters(kind, json.writeValueAsString(content)));
  }

  @Override
  public void received(PeerNetwork.Peer from, PeerMessage message) {
    if (message instanceof PeerMessage.Counters counters) {
      try {
        merge(from, counters);
      } catch (JsonProcessingException | RuntimeException e) {
        logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
            "counters %s of %s are not understood: %s",
            counters.kind(), from.host(), e.getMessage());
      }
    }
  }

  /** A new peer starts warm: it gets what this host knows of all others. */
  @Override
  public void linked(PeerNetwork.Peer peer) {
    try {
      for (RateReport report : path.rates.reportsOfOtherOrigins(clock.nanoTime())) {
        network.send(
            peer.incarnation(), new PeerMessage.Counters(RATES, json.writeValueAsString(report)));
      }
    } catch (JsonProcessingException e) {
      logger.atSevere().withCause(e).log("pass rates cannot be sent to %s", peer.host());
    }
  }

  private void merge(PeerNetwork.Peer from, PeerMessage.Counters counters)
      throws JsonProcessingException {
    long now = clock.nanoTime();
    switch (counters.kind()) {
      case RATES -> path.rates.merge(json.readValue(counters.json(), RateReport.class), now);
      case LIMITS -> path.limiter.merge(json.readValue(counters.json(), LimitReport.class));
      case EVIDENCE ->
          evidence.setPeerCounts(
              from.incarnation(),
              json.readValue(counters.json(), new TypeReference<Map<String, VersionCounts>>() {}));
      case OUTSTANDING -> {
        Map<String, Integer> work =
            json.readValue(counters.json(), new TypeReference<Map<String, Integer>>() {});
        work.forEach(
            (upstream, count) ->
                path.tracker.recordPeerOutstanding(from.incarnation(), upstream, count, now));
      }
      default -> {
        // A kind of a later release.
      }
    }
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
