package org.clementinequay.server.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.spread.CurrentRevision;
import org.clementinequay.core.spread.RevisionConfirmations;
import org.clementinequay.core.time.RuntimeClock;

/** Duty that confirms the revision in force on this host; only the newest one matters. */
final class ConfirmationDuty implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration INTERVAL = Duration.ofMillis(500);

  private final String host;
  private final RevisionConfirmations confirmations;
  private final CurrentRevision keeper;
  private final RuntimeClock clock;
  private final Thread thread = new Thread(this::run, "revision-confirmation");

  ConfirmationDuty(
      String host,
      RevisionConfirmations confirmations,
      CurrentRevision keeper,
      RuntimeClock clock) {
    this.host = host;
    this.confirmations = confirmations;
    this.keeper = keeper;
    this.clock = clock;
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  private void run() {
    long confirmed = 0;
    while (!Thread.currentThread().isInterrupted()) {
      long inForce = keeper.number();
      if (inForce > confirmed) {
        try {
          confirmations.confirm(host, inForce);
          confirmed = inForce;
        } catch (PlatformException | RuntimeException e) {
          logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
              "revision %d cannot be confirmed yet: %s", inForce, e.getMessage());
        }
      }
      try {
        clock.sleep(INTERVAL);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
