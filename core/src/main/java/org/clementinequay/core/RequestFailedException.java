package org.clementinequay.core;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Signals that a request ended without a complete answer; carries the reason and what is known
 * about the execution of the request.
 */
public final class RequestFailedException extends RouterException {
  private static final long serialVersionUID = 1L;

  private final RefusalReason reason;
  private final Outcome outcome;
  private final Duration retryAfter;

  private RequestFailedException(
      RefusalReason reason, Outcome outcome, String message, Duration retryAfter) {
    super(message, null);
    this.reason = Objects.requireNonNull(reason);
    this.outcome = Objects.requireNonNull(outcome);
    this.retryAfter = retryAfter;
  }

  /** Creates the refusal of a request of which no byte can have reached an upstream. */
  public static RequestFailedException notRun(RefusalReason reason, String message) {
    return new RequestFailedException(reason, Outcome.NOT_RUN, message, null);
  }

  /**
   * Creates the refusal of a request of which no byte can have reached an upstream.
   *
   * @param retryAfter time after which a retry by the caller may succeed
   */
  public static RequestFailedException notRun(
      RefusalReason reason, String message, Duration retryAfter) {
    return new RequestFailedException(reason, Outcome.NOT_RUN, message, retryAfter);
  }

  /** Creates the failure of a request of which it is not known whether it ran. */
  public static RequestFailedException unknown(RefusalReason reason, String message) {
    return new RequestFailedException(reason, Outcome.UNKNOWN, message, null);
  }

  public RefusalReason reason() {
    return reason;
  }

  /** Returns what is known about the execution of the request. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns how long the caller should wait before a retry; empty if no time was given. */
  public Optional<Duration> retryAfter() {
    return Optional.ofNullable(retryAfter);
  }
}
