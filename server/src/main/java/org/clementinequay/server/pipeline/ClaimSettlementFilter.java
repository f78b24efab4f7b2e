package org.clementinequay.server.pipeline;

import org.clementinequay.core.Outcome;
import org.clementinequay.core.claim.ClaimAttempt;
import org.clementinequay.core.claim.StoredAnswer;
import org.clementinequay.server.claim.ClaimWriter;

/** Ends the claim of a request: stores the answer, frees the key, or leaves it unknown. */
public final class ClaimSettlementFilter implements Filter {
  private final ClaimWriter writer;

  /** Creates the stage. */
  public ClaimSettlementFilter(ClaimWriter writer) {
    this.writer = writer;
  }

  @Override
  public boolean settles() {
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
      String type = answer.contentType() == null ? "" : answer.contentType();
      writer.complete(claim, StoredAnswer.of(answer.status(), type, answer.body()));
    } else if (exchange.outcome() == Outcome.NOT_RUN) {
      writer.release(claim);
    } else {
      writer.leaveUnknown(claim);
    }
  }
}
