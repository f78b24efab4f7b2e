package org.clementinequay.server.pipeline;

import org.clementinequay.core.billing.BillRecord;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.billing.BillReplicator;

/**
 * Records the bill of a request that did work, and waits until a second host holds it, so that the
 * caller has its last event only after the bill survives the loss of this host.
 */
public final class BillFilter implements Filter {
  private final BillReplicator replicator;
  private final RuntimeClock clock;

  /** Creates the stage. */
  public BillFilter(BillReplicator replicator, RuntimeClock clock) {
    this.replicator = replicator;
    this.clock = clock;
  }

  @Override
  public boolean settles() {
    return true;
  }

  @Override
  public void apply(Exchange exchange, Next next) {
    if (exchange.attempts().isEmpty()) {
      next.proceed();
      return;
    }
    BillRecord record =
        new BillRecord(
            exchange.id(),
            exchange.account().name(),
            exchange.requestClassName(),
            exchange.request().target(),
            exchange.outcome(),
            clock.now(),
            exchange.attempts());
    replicator.replicate(record).whenComplete((copied, failure) -> next.proceed());
  }
}
