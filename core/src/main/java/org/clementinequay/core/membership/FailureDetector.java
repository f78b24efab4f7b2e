package org.clementinequay.core.membership;

import java.time.Duration;

/**
 * Judges one peer by its heartbeats, with a fixed bound on the time without progress. Progress is
 * an answer to a heartbeat, because an answer shows that both directions of the link and the peer's
 * threads work.
 *
 * <p>A phi-accrual detector was weighed: it adapts to the spread of arrival times, but it needs a
 * window of arrivals for each link, it judges a link that has just opened badly, and the same
 * silence has a different effect on each link. Heartbeats here are regular and every bound of the
 * system is a number of seconds, so the fixed bound is easier to reason about and to test. Not safe
 * for use by several threads at once.
 */
public final class FailureDetector {
  /**
   * Time between two heartbeats. Longer intervals delay detection; shorter ones exceed the budget
   * for control of 25 KB/s and 1% of a core per host at the link count of 330 hosts.
   */
  public static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);

  /**
   * Time without progress after which a peer counts as failed: three lost or late heartbeats, so
   * that one collection pause or one retransmission does not drop a link.
   */
  public static final Duration PROGRESS_TIMEOUT = Duration.ofSeconds(4);

  private final long progressTimeoutNanos;
  private long lastProgressNanos;
  private boolean leaving;

  /**
   * Creates a detector for a peer that just made progress.
   *
   * @param progressTimeout longest time without progress
   * @param nowNanos monotonic time in nanoseconds
   */
  public FailureDetector(Duration progressTimeout, long nowNanos) {
    this.progressTimeoutNanos = progressTimeout.toNanos();
    this.lastProgressNanos = nowNanos;
  }

  /** Records an answer to a heartbeat. */
  public void recordProgress(long nowNanos) {
    if (nowNanos - lastProgressNanos > 0) {
      lastProgressNanos = nowNanos;
    }
  }

  /** Records what the peer said about its own shutdown; a peer never returns from leaving. */
  public void recordLeaving(boolean saysLeaving) {
    leaving |= saysLeaving;
  }

  /** Returns the time since the last progress, in nanoseconds. */
  public long silenceNanos(long nowNanos) {
    return Math.max(0, nowNanos - lastProgressNanos);
  }

  /** Returns the state of the peer. */
  public PeerState state(long nowNanos) {
    if (silenceNanos(nowNanos) > progressTimeoutNanos) {
      return PeerState.FAILED;
    }
    return leaving ? PeerState.LEAVING : PeerState.ALIVE;
  }
}
