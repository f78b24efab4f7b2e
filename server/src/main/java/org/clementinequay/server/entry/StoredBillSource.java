package org.clementinequay.server.entry;

import java.time.Instant;
import java.util.List;
import org.clementinequay.core.billing.Bill;
import org.clementinequay.core.billing.BillStore;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.server.operator.BillReport;
import org.clementinequay.server.operator.BillSource;

/** Computes bills from the sealed batches in the table service and the object store. */
final class StoredBillSource implements BillSource {
  private final BillStore store;

  StoredBillSource(PlatformClients platform) {
    this.store = new BillStore(platform.table, platform.objects);
  }

  @Override
  public BillReport bill(String account, Instant from, Instant to) throws PlatformException {
    Bill bill = store.read(account, from, to);
    List<BillReport.Line> lines =
        bill.byTarget().entrySet().stream()
            .map(
                entry ->
                    new BillReport.Line(
                        entry.getKey(),
                        entry.getValue().count(),
                        entry.getValue().promptTokens(),
                        entry.getValue().completionTokens(),
                        entry.getValue().costMicros()))
            .toList();
    return new BillReport(
        account, from, to, bill.total().count(), bill.total().costMicros(), lines);
  }
}
