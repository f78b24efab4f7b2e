package org.clementinequay.core.limit;

import java.time.Duration;

/**
 * Decision on whether a request is admitted.
 *
 * @param admitted whether the request may proceed
 * @param retryAfter time that the caller should wait before it retries; zero if admitted
 * @param cause reason of the refusal; {@link Cause#NONE} if admitted
 */
public record Admission(boolean admitted, Duration retryAfter, Cause cause) {
  /** The request may proceed. */
  public static final Admission ADMITTED = new Admission(true, Duration.ZERO, Cause.NONE);

  /** Returns a refusal. */
  public static Admission refused(Cause cause, Duration retryAfter) {
    return new Admission(false, retryAfter, cause);
  }

  /** Reason of a refusal. */
  public enum Cause {
    /** The request was admitted. */
    NONE,
    /** This host's share of the account's rate limit over all entry hosts is used up. */
    RATE,
    /** This host's share of the account's concurrency limit over all entry hosts is used up. */
    CONCURRENCY,
    /** Overload: the estimated wait at the upstream is too long for the deadline. */
    OVERLOAD
  }
}
