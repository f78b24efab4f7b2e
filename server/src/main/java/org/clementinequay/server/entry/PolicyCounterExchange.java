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
 * Exchanges counters of the policies with the peers: usage of account limits, learned pass rates,
 * answer counts for rollouts, and outstanding requests per upstream. A message contains the state
 * of its origin rather than an increment, so a lost, repeated or delayed message does no harm.
 */
final class PolicyCounterExchange implements PeerNetwork.Listener, AutoCloseable {
  /** Interval of reports of limits and outstanding requests, which admission and placement use. */
  private static final Duration INTERVAL = Duration.ofSeconds(1);

  /**
   * Intervals between two reports of pass rates, which change slowly and are the largest reports.
   */
  private static final int INTERVALS_PER_RATE_REPORT = 5;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String RATES = "rates";
  private static final String LIMITS = "limits";
  private static final String EVIDENCE = "evidence";
  private static final String OUTSTANDING = "outstanding";

  private final PeerNetwork network;
  private final RequestComponents requests;
  private final RolloutEvidence evidence;
  private final RuntimeClock clock;
  private final ObjectMapper json = new ObjectMapper();
  private final Thread thread = new Thread(this::run, "policy-exchange");

  PolicyCounterExchange(
      PeerNetwork network,
      RequestComponents requests,
      RolloutEvidence evidence,
      RuntimeClock clock) {
    this.evidence = evidence;
    this.network = network;
    this.requests = requests;
    this.clock = clock;
    thread.setDaemon(true);
  }

  void start() {
    network.addListener(this);
    thread.start();
  }

  private void run() {
    for (long iteration = 0; !Thread.currentThread().isInterrupted(); iteration++) {
      try {
        sendCounters(iteration);
      } catch (JsonProcessingException | RuntimeException e) {
        logger.atSevere().withCause(e).log("sending policy counters to the peers failed");
      }
      try {
        clock.sleep(INTERVAL);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void sendCounters(long iteration) throws JsonProcessingException {
    long now = clock.nanoTime();
    broadcast(LIMITS, requests.limiter.rebalance(now));
    broadcast(OUTSTANDING, requests.tracker.ownOutstanding());
    Map<String, VersionCounts> countsByVersion = evidence.localCounts();
    if (!countsByVersion.isEmpty()) {
      broadcast(EVIDENCE, countsByVersion);
    }
    if (iteration % INTERVALS_PER_RATE_REPORT == 0) {
      broadcast(RATES, requests.rates.report(now));
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
            "rejected %s counters of peer %s: %s", counters.kind(), from.host(), e.getMessage());
      }
    }
  }

  /** Sends a new peer the pass rates of the other hosts, so that it does not start without data. */
  @Override
  public void linked(PeerNetwork.Peer peer) {
    try {
      for (RateReport report : requests.rates.reportsOfOtherOrigins(clock.nanoTime())) {
        network.send(
            peer.incarnation(), new PeerMessage.Counters(RATES, json.writeValueAsString(report)));
      }
    } catch (JsonProcessingException e) {
      logger.atSevere().withCause(e).log("sending pass rates to new peer %s failed", peer.host());
    }
  }

  private void merge(PeerNetwork.Peer from, PeerMessage.Counters counters)
      throws JsonProcessingException {
    long now = clock.nanoTime();
    switch (counters.kind()) {
      case RATES -> requests.rates.merge(json.readValue(counters.json(), RateReport.class), now);
      case LIMITS -> requests.limiter.merge(json.readValue(counters.json(), LimitReport.class));
      case EVIDENCE ->
          evidence.setPeerCounts(
              from.incarnation(),
              json.readValue(counters.json(), new TypeReference<Map<String, VersionCounts>>() {}));
      case OUTSTANDING -> {
        Map<String, Integer> outstandingByUpstream =
            json.readValue(counters.json(), new TypeReference<Map<String, Integer>>() {});
        outstandingByUpstream.forEach(
            (upstream, count) ->
                requests.tracker.recordPeerOutstanding(from.incarnation(), upstream, count, now));
      }
      default -> {
        // Ignored: a kind of counters of a later release.
      }
    }
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
