package org.clementinequay.core;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/** A request ends without its answer; carries the reason and what is known about its execution. */
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

  /** Returns a refusal of a request of which no byte was offered to an upstream. */
  public static RequestFailedException notRun(RefusalReason reason, String message) {
    return new RequestFailedException(reason, Outcome.NOT_RUN, message, null);
  }

  /** Returns a refusal with outcome not-run that tells the caller when a retry may succeed. */
  public static RequestFailedException notRun(
      RefusalReason reason, String message, Duration retryAfter) {
    return new RequestFailedException(reason, Outcome.NOT_RUN, message, retryAfter);
  }

  /** Returns a failure of a request that may have run. */
  public static RequestFailedException unknown(RefusalReason reason, String message) {
    return new RequestFailedException(reason, Outcome.UNKNOWN, message, null);
  }

  /** Returns why the request failed. */
  public RefusalReason reason() {
    return reason;
  }

  /** Returns what is known about the execution of the request. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns how long the caller should wait before a retry, if a retry may succeed. */
  public Optional<Duration> retryAfter() {
    return Optional.ofNullable(retryAfter);
  }
}
