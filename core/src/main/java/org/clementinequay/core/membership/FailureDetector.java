package org.clementinequay.core.membership;

import java.time.Duration;

/**
 * Detects the failure of one peer from its heartbeats, with a fixed timeout for the time without
 * progress. Progress is an answer to a heartbeat, because an answer shows that both directions of
 * the link and the peer's threads work.
 *
 * <p>A phi-accrual detector was considered. It adapts to the variance of arrival times, but it
 * needs a window of arrivals for each link, is unreliable on a link that has just opened, and
 * reacts to the same silence differently on each link. Heartbeats here are regular and the other
 * time limits of the system are fixed numbers of seconds too, so a fixed timeout is easier to
 * reason about and to test. Not thread-safe.
 */
public final class FailureDetector {
  /**
   * Time between two heartbeats. Longer intervals delay detection; shorter ones exceed the budget
   * for control traffic, 25 KB/s and 1% of a core per host, at the link count of 330 hosts.
   */
  public static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);

  /**
   * Time without progress after which a peer counts as failed: three lost or late heartbeats, so
   * that a single garbage-collection pause or retransmission does not drop a link.
   */
  public static final Duration PROGRESS_TIMEOUT = Duration.ofSeconds(4);

  private final long progressTimeoutNanos;
  private long lastProgressNanos;
  private boolean leaving;

  /**
   * Creates a detector for a peer that made progress just now.
   *
   * @param progressTimeout longest time without progress
   * @param nowNanos monotonic time in nanoseconds
   */
  public FailureDetector(Duration progressTimeout, long nowNanos) {
    this.progressTimeoutNanos = progressTimeout.toNanos();
    this.lastProgressNanos = nowNanos;
  }

  /** Records an answer to a heartbeat; a time before the last recorded one has no effect. */
  public void recordProgress(long nowNanos) {
    if (nowNanos - lastProgressNanos > 0) {
      lastProgressNanos = nowNanos;
    }
  }

  /** Records whether the peer announced its shutdown; a peer that is leaving stays leaving. */
  public void recordLeaving(boolean isLeaving) {
    leaving |= isLeaving;
  }

  /**
   * Returns the time since the last progress in nanoseconds; 0 if that lies after the given time.
   */
  public long silenceNanos(long nowNanos) {
    return Math.max(0, nowNanos - lastProgressNanos);
  }

  /** Returns the state of the peer at the given time; {@code FAILED} takes precedence. */
  public PeerState state(long nowNanos) {
    if (silenceNanos(nowNanos) > progressTimeoutNanos) {
      return PeerState.FAILED;
    }
    return leaving ? PeerState.LEAVING : PeerState.ALIVE;
  }
}
