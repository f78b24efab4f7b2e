package org.clementinequay.core.spread;

import java.time.Duration;

/**
 * Intervals at which the platform's store is read, derived from the times that the deployment
 * allows.
 *
 * @param drainMillis time after which an upstream that announced its leaving must get no new
 *     request, in milliseconds
 * @param configurationMillis time after which a change by the operator must be in force, in
 *     milliseconds
 */
public record StoreReadTimings(long drainMillis, long configurationMillis) {
  /** Longest interval between two reads of the list of upstreams, in milliseconds. */
  private static final long MAX_UPSTREAM_INTERVAL = 1600;

  /** Longest age of the list; below the silence that counts as an outage of the store, in ms. */
  private static final long MAX_UPSTREAM_AGE = 2000;

  /** Longest wait for a change by the operator, in milliseconds. */
  private static final long MAX_OPERATOR_WAIT = 2000;

  /** Fractions of the allowed times; what remains is for the read itself and for delays. */
  private static final double INTERVAL_FRACTION = 0.5;

  private static final double UPSTREAM_AGE_FRACTION = 0.7;
  private static final double OPERATOR_WAIT_FRACTION = 0.65;
  private static final double OPERATOR_AGE_FRACTION = 0.85;

  /** Returns the interval at which a reader reads the list of upstreams. */
  public Duration upstreamInterval() {
    return fraction(drainMillis, INTERVAL_FRACTION, MAX_UPSTREAM_INTERVAL);
  }

  /** Returns the age of the list of upstreams from which a reader that stands by reads it. */
  public Duration upstreamStandby() {
    return standby(upstreamInterval(), upstreamMaxAge());
  }

  /** Returns the age of the list of upstreams from which every host reads it itself. */
  public Duration upstreamMaxAge() {
    return fraction(drainMillis, UPSTREAM_AGE_FRACTION, MAX_UPSTREAM_AGE);
  }

  /** Returns the time that a reader waits at the store for a change by the operator. */
  public Duration operatorMaxWait() {
    return fraction(configurationMillis, OPERATOR_WAIT_FRACTION, MAX_OPERATOR_WAIT);
  }

  /** Returns the time without word from a reader after which every host reads itself. */
  public Duration operatorMaxAge() {
    return fraction(
        configurationMillis,
        OPERATOR_AGE_FRACTION,
        (long) (MAX_OPERATOR_WAIT * OPERATOR_AGE_FRACTION / OPERATOR_WAIT_FRACTION));
  }

  /** Returns the time without word from a reader after which one that stands by reads itself. */
  public Duration operatorStandby() {
    return standby(operatorMaxWait(), operatorMaxAge());
  }

  private static Duration standby(Duration interval, Duration maxAge) {
    return interval.plus(maxAge.minus(interval).multipliedBy(2).dividedBy(5));
  }

  private static Duration fraction(long millis, double fraction, long maxMillis) {
    return Duration.ofMillis(Math.min(maxMillis, (long) (millis * fraction)));
  }
}
