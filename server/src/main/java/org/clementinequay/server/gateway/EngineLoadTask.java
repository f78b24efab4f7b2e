package org.clementinequay.server.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;
import org.clementinequay.core.placement.EngineLoadExchange.EngineSum;
import org.clementinequay.core.rollout.EvidencePacer;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;

/**
 * Exchanges the outstanding work on engines with the hosts of this failure domain, if there are
 * many hosts. Nothing is sent to other domains; the hosts of the own domain are a sample of all.
 */
final class EngineLoadTask implements PeerNetwork.Listener {
  private static final Duration INTERVAL = Duration.ofSeconds(1);

  /** Rounding of token times, which keeps messages short. */
  private static final double STEPS_PER_MILLI = 100;

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
   * @param minHosts number of hosts from which loads are exchanged; never if it is 0
   */
  EngineLoadTask(Gateway gateway, PeerBroadcast links, IntSupplier listedHosts, int minHosts) {
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
      boolean full = pacer.isFullRound();
      List<EngineSum> sums =
          gateway.engineSelector.exchange().takeChanges(gateway.engineSelector.takeSums(), full);
      // An empty message tells that the sums of the last one still hold.
      pacer.recordRound(now, links.broadcast(encode(full, sums), this::isNear));
    }
    return INTERVAL;
  }

  private void updateState() {
    int hosts = listedHosts.getAsInt();
    if (hosts == 0) {
      return;
    }
    boolean enough = minHosts > 0 && hosts >= minHosts;
    if (enough != active) {
      active = enough;
      gateway.log.record("engine_load_exchange", "active", active, "hosts", hosts);
    }
    gateway.engineSelector.shareLoad(active ? hosts - 1 : 0);
  }

  private boolean isNear(PeerNetwork.Peer peer) {
    return peer.domain().equals(gateway.domain);
  }

  private static PeerMessage.EngineLoad encode(boolean full, List<EngineSum> sums) {
    List<PeerMessage.EngineWorkSum> engines = new ArrayList<>(sums.size());
    for (EngineSum sum : sums) {
      engines.add(
          new PeerMessage.EngineWorkSum(
              sum.engine(),
              (long) Math.ceil(sum.workMillis()),
              sum.tokens(),
              sum.samples(),
              Math.round(sum.millisPerToken() * STEPS_PER_MILLI) / STEPS_PER_MILLI));
    }
    return new PeerMessage.EngineLoad(full, engines);
  }

  @Override
  public void received(PeerNetwork.Peer from, PeerMessage message) {
    if (message instanceof PeerMessage.EngineLoad load && isNear(from) && load.engines() != null) {
      List<EngineSum> sums = new ArrayList<>(load.engines().size());
      for (PeerMessage.EngineWorkSum sum : load.engines()) {
        if (sum != null) {
          sums.add(
              new EngineSum(
                  sum.upstream(),
                  sum.workMillis(),
                  sum.tokens(),
                  sum.samples(),
                  sum.millisPerToken()));
        }
      }
      gateway.engineSelector.mergeReport(
          from.host(), 1, load.full(), sums, gateway.clock.nanoTime());
    }
  }

  @Override
  public void unlinked(PeerNetwork.Peer peer) {
    gateway.engineSelector.exchange().remove(peer.host());
  }
}
