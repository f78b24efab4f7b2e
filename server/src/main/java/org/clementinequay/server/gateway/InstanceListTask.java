package org.clementinequay.server.gateway;

import java.time.Duration;
import org.clementinequay.core.forward.UpstreamListing;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.spread.ReadSchedule;
import org.clementinequay.core.spread.StoreClock;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;

/**
 * Keeps the list of upstreams up to date: reads it from the store if this host is a reader of its
 * failure domain, and otherwise applies what the readers send. After each read, what changed is
 * sent to all linked hosts. One of another domain only learns from it that its list is still
 * current, and passes that on in its domain; a change is read there by the domain's own reader.
 */
final class InstanceListTask implements PeerNetwork.Listener {
  /** Time between checks whether a read is due. */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  private final Gateway gateway;
  private final PlatformStore platform;
  private final StoreReaderRole role;
  private final PeerBroadcast links;
  private final DependencyStatusLog dependency;
  private final ReadSchedule schedule;
  private final StoreClock storeClock;
  private final UpstreamListing listing = new UpstreamListing();

  InstanceListTask(
      Gateway gateway,
      PlatformStore platform,
      StoreReaderRole role,
      PeerBroadcast links,
      ReadSchedule schedule,
      StoreClock storeClock) {
    this.gateway = gateway;
    this.platform = platform;
    this.role = role;
    this.links = links;
    this.schedule = schedule;
    this.storeClock = storeClock;
    this.dependency = new DependencyStatusLog("list of upstreams", gateway.log);
  }

  Duration step() {
    long untilRead = schedule.nanosUntilRead(role.isReader(), gateway.clock.nanoTime());
    if (untilRead > 0) {
      return Duration.ofNanos(Math.min(untilRead, CHECK_INTERVAL.toNanos()));
    }
    try {
      long requestNanos = gateway.clock.nanoTime();
      InstanceReading reading = platform.instances();
      storeClock.observe(reading.storeMillis(), requestNanos);
      apply(reading, requestNanos);
      dependency.succeeded();
    } catch (PlatformException e) {
      schedule.recordFailure(gateway.clock.nanoTime());
      dependency.failed(e);
    }
    return Duration.ZERO;
  }

  private synchronized void apply(InstanceReading reading, long readNanos) {
    schedule.recordRead(readNanos);
    if (reading.revision() < listing.revision()) {
      // A newer list arrived from a reader during the read.
      return;
    }
    UpstreamListing.Update update = listing.replace(reading.instances(), reading.revision());
    gateway.updateInstances(listing.instances());
    links.broadcast(
        new PeerMessage.UpstreamReading(update, reading.storeMillis()), StoreReaderRole::isAny);
  }

  @Override
  public void received(PeerNetwork.Peer from, PeerMessage message) {
    if (message instanceof PeerMessage.UpstreamReading reading) {
      if (role.isNear(from)) {
        apply(from, reading.update(), reading.storeMillis());
      } else {
        confirm(reading.update(), reading.storeMillis());
      }
    }
  }

  /** Takes a reading of another domain as a sign that the list is current, and passes that on. */
  private synchronized void confirm(UpstreamListing.Update update, long storeMillis) {
    long readNanos = storeClock.toHostNanos(storeMillis, gateway.clock.nanoTime());
    if (storeMillis > 0 && listing.confirm(update) && schedule.recordConfirmation(readNanos)) {
      gateway.updateInstances(listing.instances());
      links.broadcast(
          new PeerMessage.UpstreamReading(listing.unchanged(), storeMillis), role::isNear);
    }
  }

  private synchronized void apply(
      PeerNetwork.Peer from, UpstreamListing.Update update, long storeMillis) {
    UpstreamListing.Outcome outcome = listing.apply(update);
    if (outcome == UpstreamListing.Outcome.CURRENT) {
      gateway.updateInstances(listing.instances());
      schedule.recordConfirmation(storeClock.toHostNanos(storeMillis, gateway.clock.nanoTime()));
    } else if (outcome == UpstreamListing.Outcome.GAP) {
      gateway.log.record("list_gap", "reader", from.host(), "revision", update.revision());
      schedule.recordBehind();
    }
  }
}
