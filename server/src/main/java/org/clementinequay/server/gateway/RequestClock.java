package org.clementinequay.server.gateway;

import org.clementinequay.core.time.RuntimeClock;

/** Times of one request, from its receipt to the end of the time that its caller waits. */
final class RequestClock {
  /** Minimum remaining time for which an attempt is started, in milliseconds. */
  private static final long MIN_ATTEMPT_MILLIS = 30;

  private final RuntimeClock clock;
  private final long receivedNanos;
  private final long deadlineNanos;

  RequestClock(RuntimeClock clock, long receivedNanos, long timeoutMillis) {
    this.clock = clock;
    this.receivedNanos = receivedNanos;
    this.deadlineNanos = receivedNanos + timeoutMillis * 1_000_000;
  }

  long elapsedNanos() {
    return clock.nanoTime() - receivedNanos;
  }

  long elapsedMillis() {
    return elapsedNanos() / 1_000_000;
  }

  /** Returns the time from the receipt of the request to the given time. */
  long elapsedNanosAt(long nanos) {
    return nanos - receivedNanos;
  }

  long deadlineNanos() {
    return deadlineNanos;
  }

  long remainingMillis() {
    return (deadlineNanos - clock.nanoTime()) / 1_000_000;
  }

  /** Returns whether the remaining time is worth another attempt. */
  boolean allowsAttempt() {
    return remainingMillis() >= MIN_ATTEMPT_MILLIS;
  }

  /** Returns whether the deadline passed so long ago that upstreams report no timeout any more. */
  boolean isOverdue() {
    return remainingMillis() <= -RequestForwarder.DEADLINE_GRACE_MILLIS;
  }
}
