package org.clementinequay.server.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;
import org.clementinequay.core.admission.AccountShares.AccountSum;
import org.clementinequay.core.admission.AccountShares.Report;
import org.clementinequay.core.rollout.EvidencePacer;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;

/**
 * Exchanges the demand of client accounts with the hosts of this failure domain, if there are many
 * hosts. Nothing is sent to other domains, whose hosts see the same accounts.
 */
final class AccountDemandTask implements PeerNetwork.Listener {
  private static final Duration INTERVAL = Duration.ofSeconds(1);

  /** Each byte counts twice: reports of engine load use most of the bytes for control. */
  private static final int PACED_BYTES_PER_BYTE = 2;

  private final Gateway gateway;
  private final PeerBroadcast links;
  private final IntSupplier listedHosts;
  private final int minHosts;
  private final EvidencePacer pacer = new EvidencePacer();
  private boolean started;
  private boolean active;

  /**
   * Creates the task.
   *
   * @param listedHosts number of hosts on the host list, this one included; 0 if it is not known
   * @param minHosts number of hosts from which accounts have shares; never if it is 0
   */
  AccountDemandTask(Gateway gateway, PeerBroadcast links, IntSupplier listedHosts, int minHosts) {
    this.gateway = gateway;
    this.links = links;
    this.listedHosts = listedHosts;
    this.minHosts = minHosts;
  }

  /** Sends what changed; returns the pause until the next step. */
  Duration step() {
    if (!started) {
      started = true;
      // Hosts that start together must not send together.
      return Duration.ofMillis(1 + gateway.random.nextInt((int) INTERVAL.toMillis()));
    }
    updateState();
    long now = gateway.clock.nanoTime();
    if (active && pacer.isDue(now)) {
      Report report = gateway.accountShares.takeReport(pacer.isFullRound(), now);
      long bytes = links.broadcast(encode(report), this::isNear);
      pacer.recordRound(now, PACED_BYTES_PER_BYTE * bytes);
    }
    return INTERVAL;
  }

  private void updateState() {
    int hosts = listedHosts.getAsInt();
    boolean enough = minHosts > 0 && hosts >= minHosts;
    if (hosts > 0 && enough != active) {
      active = enough;
      gateway.accountShares.activate(active);
      gateway.log.record("account_shares", "active", active, "hosts", hosts);
    }
  }

  private boolean isNear(PeerNetwork.Peer peer) {
    return peer.domain().equals(gateway.domain);
  }

  private static PeerMessage.AccountDemand encode(Report report) {
    List<PeerMessage.AccountWork> accounts = new ArrayList<>(report.accounts().size());
    for (AccountSum sum : report.accounts()) {
      accounts.add(
          new PeerMessage.AccountWork(sum.account(), Math.ceil(sum.workMillis()), sum.requests()));
    }
    return new PeerMessage.AccountDemand(
        report.full(), Math.ceil(report.servedMillis()), report.contended(), accounts);
  }

  @Override
  public void received(PeerNetwork.Peer from, PeerMessage message) {
    if (!(message instanceof PeerMessage.AccountDemand demand) || !isNear(from)) {
      return;
    }
    List<AccountSum> sums = new ArrayList<>();
    if (demand.accounts() != null) {
      for (PeerMessage.AccountWork work : demand.accounts()) {
        sums.add(
            work == null
                ? null
                : new AccountSum(work.account(), work.workMillis(), (int) work.requests()));
      }
    }
    long now = gateway.clock.nanoTime();
    Report report = new Report(demand.full(), demand.servedMillis(), demand.contended(), sums);
    int invalid = gateway.accountShares.merge(from.host(), report, now);
    if (invalid > 0 && gateway.accountShares.tryLog(from.host(), now)) {
      gateway.log.record("account_demand_invalid", "host", from.host(), "values", invalid);
    }
  }

  @Override
  public void unlinked(PeerNetwork.Peer peer) {
    gateway.accountShares.remove(peer.host());
  }
}
