package org.clementinequay.core.claim;

import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.platform.Row;

/**
 * One attempt to claim a key. It is decided exactly once, by whichever comes first: the store's
 * answer or the deadline. A thread that waits for the store and a timer may therefore race.
 */
public final class ClaimAttempt {
  private final ClaimRequest request;
  private final ClaimToken token;
  private final Instant claimedAt;
  private final CompletableFuture<ClaimResult> result = new CompletableFuture<>();
  private volatile StoredAnswer answer;
  private volatile boolean released;
  private volatile boolean recorded;

  // Written by the thread that runs the rounds of ClaimService.
  private volatile Row replaces;
  private volatile boolean rowPossible;
  private volatile long lastWriteNanos;

  ClaimAttempt(ClaimRequest request, ClaimToken token, Instant claimedAt) {
    this.request = request;
    this.token = token;
    this.claimedAt = claimedAt;
  }

  /** Returns what was asked for. */
  public ClaimRequest request() {
    return request;
  }

  /** Returns the identity of this attempt. */
  public ClaimToken token() {
    return token;
  }

  /** Returns a future of the result that cannot complete the attempt. */
  public CompletableFuture<ClaimResult> result() {
    return result.copy();
  }

  /** Returns whether the attempt is decided. */
  public boolean isDecided() {
    return result.isDone();
  }

  /**
   * Refuses the claim as unconfirmed unless it is decided already. After this returns true, the
   * token is never used, even if its row is written later.
   */
  public boolean abandon() {
    return refuse(RefusalReason.CLAIM_UNCONFIRMED);
  }

  /** Refuses the claim for a reason other than the store, under the rules of {@link #abandon}. */
  public boolean refuse(RefusalReason reason) {
    return decide(new ClaimResult.Refused(reason));
  }

  boolean decide(ClaimResult decision) {
    return result.complete(decision);
  }

  boolean grant() {
    return decide(new ClaimResult.Granted(this));
  }

  /** Returns whether this process knows that it never sends a request under the token. */
  boolean neverSent() {
    return released || (isDecided() && !(result.join() instanceof ClaimResult.Granted));
  }

  void markReleased() {
    released = true;
  }

  void answered(StoredAnswer stored) {
    answer = stored;
  }

  /** Records that the answer is in the store, and drops it from memory. */
  void markRecorded() {
    recorded = true;
    answer = null;
  }

  boolean recorded() {
    return recorded;
  }

  Optional<StoredAnswer> answer() {
    return Optional.ofNullable(answer);
  }

  Optional<Row> replaces() {
    return Optional.ofNullable(replaces);
  }

  void replaceNext(Row row) {
    replaces = row;
  }

  void insertNext() {
    replaces = null;
  }

  /**
   * Records that a row with the token exists or may come to exist.
   *
   * @param nanos reading of the monotonic clock when the call to the store ended
   */
  void markRowPossible(long nanos) {
    rowPossible = true;
    lastWriteNanos = nanos;
  }

  boolean rowPossible() {
    return rowPossible;
  }

  long lastWriteNanos() {
    return lastWriteNanos;
  }

  ClaimRow claimedRow() {
    return ClaimRow.claimed(token, request.bodyHash(), claimedAt);
  }
}
