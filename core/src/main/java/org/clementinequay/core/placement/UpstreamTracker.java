package org.clementinequay.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.clementinequay.core.Incarnation;

/**
 * Keeps what one entry host knows of the upstreams: its own outstanding work, the work that its
 * peers announced, load reports, distances and learned speeds. Safe for concurrent use; every
 * upstream has its own lock.
 */
public final class UpstreamTracker {
  /** Weight of a new speed sample in the moving average; follows a change within ~20 answers. */
  private static final double SPEED_WEIGHT = 0.1;

  /** A peer that has not announced its work for this long no longer counts, in nanoseconds. */
  private static final long PEER_EXPIRY_NANOS = 10_000_000_000L;

  private final Map<String, State> states = new ConcurrentHashMap<>();
  private final Map<String, Long> distances = new ConcurrentHashMap<>();

  /** Records that an attempt was sent to an upstream. */
  public void recordStart(String upstream, int expectedTokens) {
    State state = state(upstream);
    synchronized (state) {
      state.own++;
      state.ownTokens += expectedTokens;
    }
  }

  /** Records that an attempt ended in any way; call it once for each {@link #recordStart}. */
  public void recordEnd(String upstream, int expectedTokens) {
    State state = state(upstream);
    synchronized (state) {
      state.own = Math.max(0, state.own - 1);
      state.ownTokens = Math.max(0, state.ownTokens - expectedTokens);
    }
  }

  /**
   * Learns from a whole answer.
   *
   * @param generationNanos time from the first generated token to the last, which leaves out the
   *     wait in the upstream's queue
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

  /** Records a load report; one that is older than the last is dropped. */
  public void recordLoadReport(String upstream, LoadReport report) {
    State state = state(upstream);
    synchronized (state) {
      if (state.report != null && state.report.reportedAtNanos() >= report.reportedAtNanos()) {
        return;
      }
      state.report = report;
      state.ownAtReport = state.own;
      state.peerAtReport = state.peerOutstanding(report.reportedAtNanos());
    }
  }

  /** Records how many requests a peer has in progress on an upstream. */
  public void recordPeerOutstanding(
      Incarnation peer, String upstream, int outstanding, long nowNanos) {
    State state = state(upstream);
    synchronized (state) {
      state.peers.put(peer, new PeerWork(outstanding, nowNanos));
    }
  }

  /** Forgets a peer that left or failed. */
  public void removePeer(Incarnation peer) {
    for (State state : states.values()) {
      synchronized (state) {
        state.peers.remove(peer);
      }
    }
  }

  /** Records the smoothed round-trip time to a failure domain in nanoseconds. */
  public void recordRoundTrip(String domain, long roundTripNanos) {
    distances.put(domain, roundTripNanos);
  }

  /** Returns this host's outstanding requests by upstream, to be announced to the peers. */
  public Map<String, Integer> ownOutstanding() {
    Map<String, Integer> result = new HashMap<>();
    states.forEach(
        (name, state) -> {
          synchronized (state) {
            result.put(name, state.own);
          }
        });
    return result;
  }

  /**
   * Returns what is known of an upstream.
   *
   * @param slots requests that it runs at the same time at full speed
   */
  public UpstreamView view(String upstream, String domain, int slots, long nowNanos) {
    State state = state(upstream);
    synchronized (state) {
      return new UpstreamView(
          upstream,
          domain,
          slots,
          state.own,
          state.ownTokens,
          state.ownAtReport,
          state.peerOutstanding(nowNanos),
          state.peerAtReport,
          Optional.ofNullable(state.report),
          distances.getOrDefault(domain, 0L),
          state.millisPerToken);
    }
  }

  private State state(String upstream) {
    return states.computeIfAbsent(upstream, name -> new State());
  }

  private record PeerWork(int outstanding, long atNanos) {}

  private static final class State {
    private final Map<Incarnation, PeerWork> peers = new HashMap<>();
    private int own;
    private double ownTokens;
    private int ownAtReport;
    private int peerAtReport;
    private LoadReport report;
    private double millisPerToken;

    private int peerOutstanding(long nowNanos) {
      int sum = 0;
      for (PeerWork work : peers.values()) {
        if (nowNanos - work.atNanos() <= PEER_EXPIRY_NANOS) {
          sum += work.outstanding();
        }
      }
      return sum;
    }
  }
}
