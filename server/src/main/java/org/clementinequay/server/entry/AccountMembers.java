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
 * Duty that keeps the set of entry hosts among which account limits are shared: the platform's list
 * and the linked peers. A host that is cut off stays in the set, so that its share is not given out
 * twice; it leaves when the list drops it. Hosts count by name, because a host links only to some
 * of the others and does not know the process of the rest.
 */
final class AccountMembers implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration INTERVAL = Duration.ofSeconds(5);
  private static final String ENTRY_ROLE = "entry";
  private static final int ID_DIGITS = 32;

  private final String self;
  private final HostDirectory directory;
  private final PeerNetwork network;
  private final AccountLimiter limiter;
  private final RuntimeClock clock;
  private final Thread thread = new Thread(this::run, "account-members");

  AccountMembers(
      String self,
      HostDirectory directory,
      PeerNetwork network,
      AccountLimiter limiter,
      RuntimeClock clock) {
    this.self = self;
    this.directory = directory;
    this.network = network;
    this.limiter = limiter;
    this.clock = clock;
    thread.setDaemon(true);
  }

  /** Returns the identity of a host in the sharing of limits; it survives restarts. */
  static Incarnation identity(String host) {
    String digest = Hashing.sha256().hashString(host, StandardCharsets.UTF_8).toString();
    return new Incarnation(digest.substring(0, ID_DIGITS));
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
            "account limits keep their members: %s", e.getMessage());
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("members of account limits cannot be updated");
      }
      try {
        clock.sleep(INTERVAL);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void update() throws PlatformException {
    Map<Incarnation, Double> weights = new HashMap<>();
    weights.put(identity(self), 1.0);
    for (HostEntry host : directory.hosts()) {
      if (host.role().equals(ENTRY_ROLE)) {
        weights.put(identity(host.name()), 1.0);
      }
    }
    network.peers().forEach(peer -> weights.put(identity(peer.host()), 1.0));
    limiter.setMembers(weights);
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
