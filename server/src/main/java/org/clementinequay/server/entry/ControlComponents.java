package org.clementinequay.server.entry;

import java.util.ArrayList;
import java.util.List;
import org.clementinequay.core.claim.ClaimService;
import org.clementinequay.core.lease.LeaseStore;
import org.clementinequay.core.spread.ConfigurationPublisher;
import org.clementinequay.core.spread.CurrentRevision;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.control.ClaimExpiryDuty;
import org.clementinequay.server.control.DutyWorker;
import org.clementinequay.server.control.HttpOrderPort;
import org.clementinequay.server.control.LeasedDuty;
import org.clementinequay.server.control.RolloutDuty;
import org.clementinequay.server.control.RolloutEvidence;
import org.clementinequay.server.control.UpstreamOrdersDuty;
import org.clementinequay.server.peer.DutyPreference;
import org.clementinequay.server.peer.LeaseRenewer;
import org.eclipse.jetty.client.HttpClient;

/** The control duties, each of which is performed by one host at a time under a lease. */
final class ControlComponents implements AutoCloseable {
  private static final int MAX_CLIENT_THREADS = 8;

  private final HttpClient http = JettyFactory.createClient("order", MAX_CLIENT_THREADS);
  private final LeaseRenewer leaseRenewer;
  private final List<DutyWorker> workers = new ArrayList<>();

  ControlComponents(
      HostContext host,
      DutyPreference preference,
      LocalConfigurationSource configuration,
      CurrentRevision currentRevision,
      RolloutEvidence evidence,
      ClaimService claims) {
    PlatformClients platform = host.platform();
    RuntimeClock clock = host.clock();
    leaseRenewer =
        new LeaseRenewer(
            new LeaseStore(platform.table), host.incarnation(), preference::isPreferred, clock);
    add(
        new UpstreamOrdersDuty(
            host.settings().domain(), configuration::upstreams, new HttpOrderPort(http)),
        clock);
    add(
        new RolloutDuty(
            platform.table,
            new ConfigurationPublisher(platform.table, platform.objects, clock),
            currentRevision::configuration,
            evidence,
            clock),
        clock);
    add(new ClaimExpiryDuty(claims, clock), clock);
  }

  private void add(LeasedDuty duty, RuntimeClock clock) {
    workers.add(
        new DutyWorker(
            duty,
            leaseRenewer.becomeCandidate(duty.name()),
            () -> leaseRenewer.lease(duty.name()),
            clock));
  }

  void start() throws Exception {
    http.start();
    leaseRenewer.start();
    workers.forEach(DutyWorker::start);
  }

  @Override
  public void close() throws Exception {
    for (DutyWorker worker : workers) {
      worker.close();
    }
    leaseRenewer.close();
    http.stop();
  }
}
