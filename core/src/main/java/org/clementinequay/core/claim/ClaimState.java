package org.clementinequay.core.claim;

import java.time.Duration;
import java.time.Instant;

/** State of a claim row, which determines the result of a repeated request. */
enum ClaimState {
  /**
   * The claimer may have sent the request. If its process stopped, it cannot be determined whether
   * any byte was sent, so the result stays {@code unknown} permanently.
   */
  CLAIMED {
    @Override
    ClaimResult resultForRepeat(ClaimRow row) {
      return new ClaimResult.InProgress(row.token().claimer());
    }

    @Override
    boolean isRemovable(ClaimRow row, Instant now) {
      return false;
    }
  },
  /** The request ran and its answer is stored. */
  COMPLETED {
    @Override
    ClaimResult resultForRepeat(ClaimRow row) {
      return new ClaimResult.Completed(row.answer().orElseThrow());
    }

    @Override
    boolean isRemovable(ClaimRow row, Instant now) {
      return row.completedAt().orElseThrow().plus(RETENTION).isBefore(now);
    }
  };

  /**
   * Time for which a stored answer is kept. It covers a caller that stops on Friday evening and
   * repeats its calls on Monday morning. A request repeated after this time runs again.
   */
  static final Duration RETENTION = Duration.ofDays(3);

  /** Returns the result of another request with the same key and body. */
  abstract ClaimResult resultForRepeat(ClaimRow row);

  /** Returns whether the row may be removed; this bounds the size of the table. */
  abstract boolean isRemovable(ClaimRow row, Instant now);
}
