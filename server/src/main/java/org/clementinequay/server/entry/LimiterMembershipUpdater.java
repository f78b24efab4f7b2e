package org.clementinequay.server.entry;

import com.google.common.flogger.FluentLogger;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.limit.AccountLimiter;
import org.clementinequay.core.platform.HostDirectory;
import org.clementinequay.core.platform.HostEntry;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.peer.PeerNetwork;

/**
 * Updates the set of entry hosts that share the account limits: those in the platform's host list
 * and the linked peers. A host that is cut off stays in the set until it is removed from the list,
 * so that its share is not given to others as well. Hosts are identified by name, because a host
 * has links to only some of the others and does not know the incarnations of the rest.
 */
final class LimiterMembershipUpdater implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration UPDATE_INTERVAL = Duration.ofSeconds(5);
  private static final String ENTRY_ROLE = "entry";
  private static final int ID_LENGTH = 32;

  private final String hostName;
  private final HostDirectory directory;
  private final PeerNetwork network;
  private final AccountLimiter limiter;
  private final RuntimeClock clock;
  private final Thread thread = new Thread(this::run, "account-members");

  LimiterMembershipUpdater(
      String hostName,
      HostDirectory directory,
      PeerNetwork network,
      AccountLimiter limiter,
      RuntimeClock clock) {
    this.hostName = hostName;
    this.directory = directory;
    this.network = network;
    this.limiter = limiter;
    this.clock = clock;
    thread.setDaemon(true);
  }

  /** Returns the identifier of a host in the sharing of limits; it is the same after a restart. */
  static Incarnation memberId(String host) {
    String digest = Hashing.sha256().hashString(host, StandardCharsets.UTF_8).toString();
    return new Incarnation(digest.substring(0, ID_LENGTH));
  }

  void start() {
    thread.start();
  }

  private void run() {
    while (!Thread.currentThread().isInterrupted()) {
      try {
        update();
      } catch (PlatformException e) {
        logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
            "the set of hosts that share the account limits is not updated: %s", e.getMessage());
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log(
            "updating the set of hosts that share the account limits failed");
      }
      try {
        clock.sleep(UPDATE_INTERVAL);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void update() throws PlatformException {
    Map<Incarnation, Double> weightsByMember = new HashMap<>();
    weightsByMember.put(memberId(hostName), 1.0);
    for (HostEntry host : directory.hosts()) {
      if (host.role().equals(ENTRY_ROLE)) {
        weightsByMember.put(memberId(host.name()), 1.0);
      }
    }
    network.peers().forEach(peer -> weightsByMember.put(memberId(peer.host()), 1.0));
    limiter.setMembers(weightsByMember);
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
