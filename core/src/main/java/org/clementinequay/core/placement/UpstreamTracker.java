package org.clementinequay.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.clementinequay.core.Incarnation;

/**
 * Collects the data about upstreams that placement decisions of one entry host use: its own
 * outstanding requests, those that its peers announced, load reports, round-trip times and
 * generation speeds. Thread-safe; every upstream has its own lock.
 */
public final class UpstreamTracker {
  /** Weight of a new speed sample in the moving average; follows a change within ~20 answers. */
  private static final double SPEED_WEIGHT = 0.1;

  /** Age in nanoseconds after which a peer's announcement of outstanding requests is ignored. */
  private static final long PEER_DATA_EXPIRY_NANOS = 10_000_000_000L;

  private final Map<String, State> states = new ConcurrentHashMap<>();
  private final Map<String, Long> roundTripNanosByDomain = new ConcurrentHashMap<>();

  /** Records that an attempt was sent to an upstream. */
  public void recordStart(String upstream, int expectedTokens) {
    State state = state(upstream);
    synchronized (state) {
      state.ownOutstanding++;
      state.ownOutstandingTokens += expectedTokens;
    }
  }

  /**
   * Records the end of an attempt, whatever its result. Must be called once for each {@link
   * #recordStart}, with the same number of tokens.
   */
  public void recordEnd(String upstream, int expectedTokens) {
    State state = state(upstream);
    synchronized (state) {
      state.ownOutstanding = Math.max(0, state.ownOutstanding - 1);
      state.ownOutstandingTokens = Math.max(0, state.ownOutstandingTokens - expectedTokens);
    }
  }

  /**
   * Updates the moving average of the generation speed from a complete answer.
   *
   * @param completionTokens number of generated tokens; 0 or less leaves the average unchanged
   * @param generationNanos time from the first generated token to the last, which excludes the wait
   *     in the upstream's queue
   */
  public void recordSpeed(String upstream, int completionTokens, long generationNanos) {
    if (completionTokens <= 0) {
      return;
    }
    double sample = generationNanos / 1e6 / completionTokens;
    State state = state(upstream);
    synchronized (state) {
      state.millisPerToken =
          state.millisPerToken == 0
              ? sample
              : state.millisPerToken + SPEED_WEIGHT * (sample - state.millisPerToken);
    }
  }

  /** Records a load report, unless it is no newer than the last one. */
  public void recordLoadReport(String upstream, LoadReport report) {
    State state = state(upstream);
    synchronized (state) {
      if (state.report != null && state.report.reportedAtNanos() >= report.reportedAtNanos()) {
        return;
      }
      state.report = report;
      state.ownAtReport = state.ownOutstanding;
      state.peerAtReport = state.peerOutstanding(report.reportedAtNanos());
    }
  }

  /** Records how many requests a peer has in progress on an upstream. */
  public void recordPeerOutstanding(
      Incarnation peer, String upstream, int outstanding, long nowNanos) {
    State state = state(upstream);
    synchronized (state) {
      state.peers.put(peer, new PeerOutstanding(outstanding, nowNanos));
    }
  }

  /** Removes the outstanding requests of a peer that left or failed. */
  public void removePeer(Incarnation peer) {
    for (State state : states.values()) {
      synchronized (state) {
        state.peers.remove(peer);
      }
    }
  }

  /** Records the smoothed round-trip time to a failure domain in nanoseconds. */
  public void recordRoundTrip(String domain, long roundTripNanos) {
    roundTripNanosByDomain.put(domain, roundTripNanos);
  }

  /** Returns the number of this host's outstanding requests by upstream, as announced to peers. */
  public Map<String, Integer> ownOutstanding() {
    Map<String, Integer> result = new HashMap<>();
    states.forEach(
        (name, state) -> {
          synchronized (state) {
            result.put(name, state.ownOutstanding);
          }
        });
    return result;
  }

  /**
   * Returns a snapshot of the data about an upstream.
   *
   * @param domain failure domain of the upstream
   * @param slots number of requests that the upstream runs concurrently at full speed
   * @param nowNanos monotonic time; decides which announcements of peers have expired
   */
  public UpstreamView view(String upstream, String domain, int slots, long nowNanos) {
    State state = state(upstream);
    synchronized (state) {
      return new UpstreamView(
          upstream,
          domain,
          slots,
          state.ownOutstanding,
          state.ownOutstandingTokens,
          state.ownAtReport,
          state.peerOutstanding(nowNanos),
          state.peerAtReport,
          Optional.ofNullable(state.report),
          roundTripNanosByDomain.getOrDefault(domain, 0L),
          state.millisPerToken);
    }
  }

  private State state(String upstream) {
    return states.computeIfAbsent(upstream, name -> new State());
  }

  private record PeerOutstanding(int outstanding, long announcedNanos) {}

  private static final class State {
    private final Map<Incarnation, PeerOutstanding> peers = new HashMap<>();
    private int ownOutstanding;
    private double ownOutstandingTokens;
    private int ownAtReport;
    private int peerAtReport;
    private LoadReport report;
    private double millisPerToken;

    private int peerOutstanding(long nowNanos) {
      int sum = 0;
      for (PeerOutstanding announced : peers.values()) {
        if (nowNanos - announced.announcedNanos() <= PEER_DATA_EXPIRY_NANOS) {
          sum += announced.outstanding();
        }
      }
      return sum;
    }
  }
}
