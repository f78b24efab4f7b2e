package org.clementinequay.core.claim;

import java.util.Optional;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.RequestFailedException;

/** Result of an attempt to claim an idempotency key. */
public sealed interface ClaimResult {
  /** Returns the failure to report to the caller; empty if the result is a grant or an answer. */
  default Optional<RequestFailedException> failure() {
    return Optional.empty();
  }

  /**
   * The request may be sent once. The receiver must end the grant with exactly one of {@link
   * ClaimService#complete}, {@link ClaimService#release} or {@link ClaimService#leaveUnknown}.
   *
   * @param attempt the attempt that owns the key
   */
  record Granted(ClaimAttempt attempt) implements ClaimResult {}

  /**
   * An earlier request with the same key and body ran and was answered.
   *
   * @param answer stored answer; without a body if reading it from the object store failed
   */
  record Completed(StoredAnswer answer) implements ClaimResult {}

  /**
   * An earlier request claimed the key and has no recorded answer: it is still in progress, or its
   * host stopped.
   *
   * @param holder process that claimed the key
   */
  record InProgress(Incarnation holder) implements ClaimResult {
    @Override
    public Optional<RequestFailedException> failure() {
      return Optional.of(
          RequestFailedException.unknown(
              RefusalReason.REQUEST_IN_PROGRESS,
              "an earlier request with this idempotency key has no recorded outcome"));
    }
  }

  /**
   * The claim is refused, and no request is ever sent under it.
   *
   * @param reason reason reported to the caller
   */
  record Refused(RefusalReason reason) implements ClaimResult {
    @Override
    public Optional<RequestFailedException> failure() {
      return Optional.of(RequestFailedException.notRun(reason, message()));
    }

    private String message() {
      return switch (reason) {
        case IDEMPOTENCY_KEY_REUSED -> "the idempotency key was used with another body";
        case OVERLOADED -> "too many idempotency keys are waiting to be claimed";
        case SHUTTING_DOWN -> "the entry host is shutting down";
        default -> "the idempotency key could not be claimed in time";
      };
    }
  }
}
