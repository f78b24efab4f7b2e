package org.clementinequay.server.pipeline;

import org.clementinequay.core.Outcome;
import org.clementinequay.core.claim.ClaimAttempt;
import org.clementinequay.core.claim.StoredAnswer;
import org.clementinequay.server.claim.ClaimWriter;

/**
 * Settles the claim of a request: stores the answer, releases a key whose request did not run, or
 * keeps the key with an unknown outcome.
 */
public final class ClaimSettlementFilter implements Filter {
  private final ClaimWriter writer;

  /** Creates a filter that leaves the writes to the store to {@code writer}, without waiting. */
  public ClaimSettlementFilter(ClaimWriter writer) {
    this.writer = writer;
  }

  @Override
  public boolean runsAfterFailure() {
    return true;
  }

  @Override
  public void apply(Exchange exchange, Next next) {
    if (exchange.claim.isPresent()) {
      settle(exchange, exchange.claim.get());
    }
    next.proceed();
  }

  private void settle(Exchange exchange, ClaimAttempt claim) {
    if (exchange.failure().isEmpty()) {
      Answer answer = exchange.answer;
      String contentType = answer.contentType() == null ? "" : answer.contentType();
      writer.complete(claim, StoredAnswer.of(answer.status(), contentType, answer.body()));
    } else if (exchange.outcome() == Outcome.NOT_RUN) {
      writer.release(claim);
    } else {
      writer.leaveUnknown(claim);
    }
  }
}
