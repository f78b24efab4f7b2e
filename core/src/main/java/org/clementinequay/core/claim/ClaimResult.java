package org.clementinequay.core.claim;

import java.util.Optional;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.RequestFailedException;

/** Answer to a request for a claim. */
public sealed interface ClaimResult {
  /** Returns the failure to report to the caller, or empty if there is an answer or a grant. */
  default Optional<RequestFailedException> failure() {
    return Optional.empty();
  }

  /**
   * The request may be sent once. The receiver ends the grant with exactly one of {@link
   * ClaimService#complete}, {@link ClaimService#release} or {@link ClaimService#leaveUnknown}.
   *
   * @param attempt the attempt that owns the key
   */
  record Granted(ClaimAttempt attempt) implements ClaimResult {}

  /**
   * The request ran earlier.
   *
   * @param answer its answer; without a body if that could not be read from the object store now
   */
  record Completed(StoredAnswer answer) implements ClaimResult {}

  /**
   * An earlier request with the key has been claimed and has no recorded answer. It is in progress,
   * or its host died.
   *
   * @param holder the process that claimed the key
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
   * The request is not sent under this claim, now or later.
   *
   * @param reason why
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
