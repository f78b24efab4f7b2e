package org.clementinequay.core.claim;

import java.time.Duration;
import java.time.Instant;

/** State of a claim row, with what a repeat of the request is told. */
enum ClaimState {
  /**
   * The claimer may have sent the request. If its process died, nobody can know whether a byte left
   * it, so the row answers {@code unknown} for ever.
   */
  CLAIMED {
    @Override
    ClaimResult answerToRepeat(ClaimRow row) {
      return new ClaimResult.InProgress(row.token().claimer());
    }

    @Override
    boolean removable(ClaimRow row, Instant now) {
      return false;
    }
  },
  /** The request ran and its answer is stored. */
  COMPLETED {
    @Override
    ClaimResult answerToRepeat(ClaimRow row) {
      return new ClaimResult.Completed(row.answer().orElseThrow());
    }

    @Override
    boolean removable(ClaimRow row, Instant now) {
      return row.completedAt().orElseThrow().plus(RETENTION).isBefore(now);
    }
  };

  /**
   * How long a stored answer is kept. A caller that stops on Friday evening and repeats its calls
   * on Monday morning is covered; a repeat after this time runs again.
   */
  static final Duration RETENTION = Duration.ofDays(3);

  /** Returns the answer to another request with the same key and body. */
  abstract ClaimResult answerToRepeat(ClaimRow row);

  /** Returns whether the row may be removed to bound the size of the table. */
  abstract boolean removable(ClaimRow row, Instant now);
}
