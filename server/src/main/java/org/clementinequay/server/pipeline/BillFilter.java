package org.clementinequay.server.pipeline;

import org.clementinequay.core.billing.BillRecord;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.billing.BillReplicator;

/**
 * Creates the bill record of a request with at least one billed attempt, and waits until a second
 * host holds a copy or replication gives up. If a copy is held, the caller receives the last event
 * only once the record survives the loss of this host.
 */
public final class BillFilter implements Filter {
  private final BillReplicator replicator;
  private final RuntimeClock clock;

  /** Creates a filter that dates bill records by the wall clock of {@code clock}. */
  public BillFilter(BillReplicator replicator, RuntimeClock clock) {
    this.replicator = replicator;
    this.clock = clock;
  }

  @Override
  public boolean runsAfterFailure() {
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
