package org.clementinequay.core.rollout;

/**
 * Decides when a host sends its evidence on a traffic shift to its peers. The load that it answers
 * is a roll-out at hundreds of hosts: with a fixed interval the bytes that a host sends grow with
 * the number of its links, until they delay the answers on the same network link. The pacer bounds
 * the bytes a second instead, so that the interval grows with the number of links and of routes.
 * Most rounds carry only what changed; every {@value #ROUNDS_PER_FULL_ROUND}th carries all counts,
 * for links that are new or lost a message. Not thread-safe.
 */
public final class EvidencePacer {
  /** Bytes a second that one traffic shift may use; below the 25 KB/s a host has for control. */
  public static final int MAX_BYTES_PER_SECOND = 16_000;

  static final int ROUNDS_PER_FULL_ROUND = 8;

  /** Shortest time between two rounds, in nanoseconds. */
  static final long MIN_INTERVAL_NANOS = 500_000_000L;

  private static final long NANOS_PER_BYTE = 1_000_000_000L / MAX_BYTES_PER_SECOND;

  private boolean started;
  private long nextRoundNanos;
  private int rounds;

  /** Returns whether the next round is due. */
  public boolean isDue(long nowNanos) {
    return !started || nowNanos - nextRoundNanos >= 0;
  }

  /** Returns whether the next round carries all counts. */
  public boolean isFullRound() {
    return rounds % ROUNDS_PER_FULL_ROUND == 0;
  }

  /**
   * Records that a round was sent.
   *
   * @param bytes bytes of the messages on all links together
   */
  public void recordRound(long nowNanos, long bytes) {
    started = true;
    rounds++;
    nextRoundNanos = nowNanos + Math.max(MIN_INTERVAL_NANOS, bytes * NANOS_PER_BYTE);
  }
}
