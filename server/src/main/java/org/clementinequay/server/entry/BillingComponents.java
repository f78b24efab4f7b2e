package org.clementinequay.server.entry;

import org.clementinequay.core.Incarnation;
import org.clementinequay.core.billing.BillLedger;
import org.clementinequay.core.billing.BillStore;
import org.clementinequay.core.billing.PeerBillCopies;
import org.clementinequay.server.billing.BillCopyReceiver;
import org.clementinequay.server.billing.BillReplicator;
import org.clementinequay.server.billing.BillSealer;
import org.clementinequay.server.billing.BillingMetrics;
import org.clementinequay.server.billing.CopyHolderSelector;

/** The billing components of this host: its own records, copies of peers' records, and sealing. */
final class BillingComponents implements AutoCloseable {
  final BillLedger ledger;
  final BillReplicator replicator;
  private final BillSealer sealer;

  BillingComponents(HostContext host, BillingMetrics metrics) {
    Incarnation self = host.incarnation();
    PlatformClients platform = host.platform();
    ledger = new BillLedger(self);
    CopyHolderSelector holderSelector =
        new CopyHolderSelector(self, host.settings().domain(), host.settings().region());
    replicator = new BillReplicator(ledger, host.peers(), holderSelector, host.clock(), metrics);
    PeerBillCopies copies = new PeerBillCopies(self);
    sealer =
        BillSealer.builder()
            .ledger(ledger)
            .copies(copies)
            .copyReceiver(new BillCopyReceiver(copies, host.peers(), host.clock()))
            .store(new BillStore(platform.table, platform.objects))
            .replicator(replicator)
            .clock(host.clock())
            .metrics(metrics)
            .build();
  }

  void start() {
    replicator.start();
    sealer.start();
  }

  /** Seals the remaining records, then stops copying; the last request must have ended. */
  @Override
  public void close() {
    sealer.close();
    replicator.close();
  }
}
