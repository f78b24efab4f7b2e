package org.clementinequay.core.limit;

import java.time.Duration;

/**
 * Decision on the admission of a request.
 *
 * @param admitted whether the request may go on
 * @param retryAfter how long the caller should wait before a retry; zero if admitted
 * @param cause which rule refused the request; {@link Cause#NONE} if admitted
 */
public record Admission(boolean admitted, Duration retryAfter, Cause cause) {
  /** The request may go on. */
  public static final Admission ADMITTED = new Admission(true, Duration.ZERO, Cause.NONE);

  /** Returns a refusal. */
  public static Admission refused(Cause cause, Duration retryAfter) {
    return new Admission(false, retryAfter, cause);
  }

  /** Which rule refused a request. */
  public enum Cause {
    NONE,
    /** The account's rate over all entry hosts. */
    RATE,
    /** The account's concurrency over all entry hosts. */
    CONCURRENCY,
    /** Shed because of overload. */
    OVERLOAD
  }
}
