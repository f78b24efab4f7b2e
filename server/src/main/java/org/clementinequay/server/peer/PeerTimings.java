package org.clementinequay.server.peer;

import java.time.Duration;
import org.clementinequay.core.membership.FailureDetector;

/**
 * Intervals and timeouts of the links.
 *
 * @param heartbeatInterval time between two heartbeats on a link
 * @param progressTimeout time without an acknowledged heartbeat after which a link is dropped
 * @param handshakeTimeout maximum time from opening a connection until the link is up
 * @param initialBackOff mean delay before the second attempt to reach a host; doubles with each
 *     further attempt
 * @param maxBackOff maximum mean delay between attempts
 * @param secondDialDelay additional delay before the host with the greater name dials, so that both
 *     ends rarely open a connection at the same time
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

  /** The timings used in production. */
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
