package org.clementinequay.server.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.spread.CurrentRevision;
import org.clementinequay.core.spread.RevisionConfirmations;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Confirms in the store that a revision is in force on this host. Revisions that were replaced
 * before their confirmation are skipped.
 */
final class RevisionConfirmer implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

  private final String host;
  private final RevisionConfirmations confirmations;
  private final CurrentRevision currentRevision;
  private final RuntimeClock clock;
  private final Thread thread = new Thread(this::run, "revision-confirmation");

  RevisionConfirmer(
      String host,
      RevisionConfirmations confirmations,
      CurrentRevision currentRevision,
      RuntimeClock clock) {
    this.host = host;
    this.confirmations = confirmations;
    this.currentRevision = currentRevision;
    this.clock = clock;
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  private void run() {
    long confirmed = 0;
    while (!Thread.currentThread().isInterrupted()) {
      long inForce = currentRevision.number();
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
        clock.sleep(POLL_INTERVAL);
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
