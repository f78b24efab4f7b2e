package org.clementinequay.core.claim;

import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.platform.Row;

/**
 * One attempt to claim an idempotency key. It is decided exactly once, by the answer of the store
 * or by the deadline, whichever comes first. The thread that waits for the store and the timer of
 * the deadline may therefore call it concurrently.
 */
public final class ClaimAttempt {
  private final ClaimRequest request;
  private final ClaimToken token;
  private final Instant claimedAt;
  private final CompletableFuture<ClaimResult> result = new CompletableFuture<>();
  private volatile StoredAnswer answer;
  private volatile boolean released;
  private volatile boolean recorded;

  // Written by the thread that calls ClaimService.round for this attempt.
  private volatile Row rowToReplace;
  private volatile boolean rowMayExist;
  private volatile long lastWriteNanos;

  ClaimAttempt(ClaimRequest request, ClaimToken token, Instant claimedAt) {
    this.request = request;
    this.token = token;
    this.claimedAt = claimedAt;
  }

  public ClaimRequest request() {
    return request;
  }

  /** Returns the unique identity of this attempt, which its claim row carries. */
  public ClaimToken token() {
    return token;
  }

  /** Returns a copy of the result future; completing the copy does not decide the attempt. */
  public CompletableFuture<ClaimResult> result() {
    return result.copy();
  }

  public boolean isDecided() {
    return result.isDone();
  }

  /**
   * Refuses the claim as unconfirmed unless it is already decided. If this returns true, no request
   * is sent under the token, even if its row is written later.
   */
  public boolean abandon() {
    return refuse(RefusalReason.CLAIM_UNCONFIRMED);
  }

  /** Refuses the claim for the given reason, with the same guarantee as {@link #abandon}. */
  public boolean refuse(RefusalReason reason) {
    return decide(new ClaimResult.Refused(reason));
  }

  boolean decide(ClaimResult decision) {
    return result.complete(decision);
  }

  boolean grant() {
    return decide(new ClaimResult.Granted(this));
  }

  /** Returns whether it is certain that this process never sends a request under the token. */
  boolean neverSent() {
    return released || (isDecided() && !(result.join() instanceof ClaimResult.Granted));
  }

  void markReleased() {
    released = true;
  }

  void setAnswer(StoredAnswer newAnswer) {
    answer = newAnswer;
  }

  /** Marks the answer as written to the store, and releases it from memory. */
  void markRecorded() {
    recorded = true;
    answer = null;
  }

  boolean isRecorded() {
    return recorded;
  }

  Optional<StoredAnswer> answer() {
    return Optional.ofNullable(answer);
  }

  Optional<Row> rowToReplace() {
    return Optional.ofNullable(rowToReplace);
  }

  void replaceOnNextWrite(Row row) {
    rowToReplace = row;
  }

  void insertOnNextWrite() {
    rowToReplace = null;
  }

  /**
   * Marks that a row with the token exists or may be written later by a call whose answer was lost.
   *
   * @param nanos monotonic time at which the call to the store ended
   */
  void markRowMayExist(long nanos) {
    rowMayExist = true;
    lastWriteNanos = nanos;
  }

  boolean rowMayExist() {
    return rowMayExist;
  }

  long lastWriteNanos() {
    return lastWriteNanos;
  }

  ClaimRow claimedRow() {
    return ClaimRow.claimed(token, request.bodyHash(), claimedAt);
  }
}
