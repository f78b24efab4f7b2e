package org.clementinequay.server.peer;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.clementinequay.core.membership.FailureDetector;

/**
 * Heartbeats of one link: which were sent, answered and received, and what they say about the other
 * end. Not thread-safe.
 */
final class HeartbeatExchange {
  /** Weight of a new sample of the round-trip time, as a right shift: one eighth, as in TCP. */
  private static final int ROUND_TRIP_SHIFT = 3;

  private final FailureDetector detector;
  private long lastSentSequence = -1;
  private long lastSentNanos;
  private long lastAcknowledgedSequence = -1;
  private long lastReceivedSequence = -1;
  private long lastReceivedNanos;
  private long roundTripNanos;

  HeartbeatExchange(Duration progressTimeout, long nowNanos) {
    this.detector = new FailureDetector(progressTimeout, nowNanos);
  }

  /** Returns the next heartbeat to send, which answers the last one received. */
  PeerMessage.Heartbeat next(HeartbeatContent content, long nowNanos) {
    lastSentSequence++;
    lastSentNanos = nowNanos;
    long heldMicros =
        lastReceivedSequence < 0 ? 0 : TimeUnit.NANOSECONDS.toMicros(nowNanos - lastReceivedNanos);
    return content.toMessage(lastSentSequence, lastReceivedSequence, heldMicros);
  }

  /** Records a heartbeat of the other end; returns whether it is the first one. */
  boolean recordReceived(PeerMessage.Heartbeat heartbeat, long nowNanos) {
    boolean first = lastReceivedSequence < 0;
    lastReceivedSequence = heartbeat.sequence();
    lastReceivedNanos = nowNanos;
    detector.recordLeaving(heartbeat.leaving());
    return first;
  }

  /** Records an answer; returns false if it answers no heartbeat, or one that is out of date. */
  boolean recordAnswer(long sequence, long heldMicros, long nowNanos) {
    if (sequence < 0 || sequence > lastSentSequence || sequence < lastAcknowledgedSequence) {
      return false;
    }
    if (sequence > lastAcknowledgedSequence) {
      lastAcknowledgedSequence = sequence;
      detector.recordProgress(nowNanos);
      if (sequence == lastSentSequence) {
        addSample(nowNanos - lastSentNanos - TimeUnit.MICROSECONDS.toNanos(heldMicros));
      }
    }
    return true;
  }

  private void addSample(long nanos) {
    long sample = Math.max(1, nanos);
    roundTripNanos =
        roundTripNanos == 0
            ? sample
            : roundTripNanos + ((sample - roundTripNanos) >> ROUND_TRIP_SHIFT);
  }

  /** Returns the smoothed round-trip time; 0 if there is none yet. */
  long roundTripNanos() {
    return roundTripNanos;
  }

  /**
   * Returns whether the other end uses the link: before that, it sends one heartbeat only, the one
   * that opens the link.
   */
  boolean isUsedByPeer() {
    return lastReceivedSequence > 0;
  }

  long silenceNanos(long nowNanos) {
    return detector.silenceNanos(nowNanos);
  }

  boolean isSilent(long nowNanos) {
    return !detector.state(nowNanos).reachable();
  }
}
