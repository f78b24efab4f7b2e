package org.clementinequay.server.control;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.clementinequay.core.claim.ClaimService;
import org.clementinequay.core.lease.LeaseGuard;
import org.clementinequay.core.lease.LeaseNotHeldException;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.time.RuntimeClock;

/** Removes claims whose answers are older than the retention time, one page in each round. */
public final class ClaimExpiryDuty implements LeasedDuty {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Pause after a pass over all claims; the retention time is days. */
  private static final Duration PASS_INTERVAL = Duration.ofMinutes(10);

  private final ClaimService claims;
  private final RuntimeClock clock;
  private String afterKey = "";
  private long nextPassNanos;

  /** Creates the duty; its first pass starts with the first round. */
  public ClaimExpiryDuty(ClaimService claims, RuntimeClock clock) {
    this.claims = claims;
    this.clock = clock;
    this.nextPassNanos = clock.nanoTime();
  }

  @Override
  public String name() {
    return "claim-expiry";
  }

  @Override
  public void runOnce(LeaseGuard guard) {
    if (clock.nanoTime() - nextPassNanos < 0) {
      return;
    }
    try {
      guard.check();
      afterKey = claims.removeExpired(afterKey);
      if (afterKey.isEmpty()) {
        nextPassNanos = clock.nanoTime() + PASS_INTERVAL.toNanos();
      }
    } catch (LeaseNotHeldException e) {
      logger.atFine().log(
          "lease not held; the next holder removes expired claims: %s", e.getMessage());
    } catch (PlatformException e) {
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "cannot remove expired claims; retrying: %s", e.getMessage());
    }
  }
}
