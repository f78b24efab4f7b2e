package org.clementinequay.server.peer;

import java.time.Duration;
import org.clementinequay.core.membership.FailureDetector;

/**
 * Intervals and limits of the links.
 *
 * @param heartbeatInterval time between two heartbeats on a link
 * @param progressTimeout time without an answer to a heartbeat after which a link is dropped
 * @param handshakeTimeout longest time from opening a connection until the link is up
 * @param initialBackOff mean pause before the second attempt to reach a host; doubles each time
 * @param maxBackOff greatest mean pause between attempts
 * @param secondDialDelay time by which the end with the greater name dials later, so that both ends
 *     rarely open a connection at once
 * @param hostListInterval time between two readings of the platform's host list
 */
public record PeerTimings(
    Duration heartbeatInterval,
    Duration progressTimeout,
    Duration handshakeTimeout,
    Duration initialBackOff,
    Duration maxBackOff,
    Duration secondDialDelay,
    Duration hostListInterval) {

  /** The intervals of a running deployment. */
  public static final PeerTimings PRODUCTION =
      new PeerTimings(
          FailureDetector.HEARTBEAT_INTERVAL,
          FailureDetector.PROGRESS_TIMEOUT,
          Duration.ofSeconds(2),
          Duration.ofMillis(200),
          // A partition between regions lasts minutes; its end should be noticed within seconds.
          Duration.ofSeconds(5),
          Duration.ofSeconds(1),
          Duration.ofSeconds(2));
}
