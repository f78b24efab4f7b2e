package org.clementinequay.server.peer;

import com.google.common.flogger.FluentLogger;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.spread.ConfigurationReader;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Reads the head row of the configuration at a jittered interval, on the thread {@code
 * configuration-reader}.
 */
public final class ConfigurationPoller implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ConfigurationReader reader;
  private final RuntimeClock clock;
  private final RandomGenerator random;
  private Thread thread;

  /** Creates a poller; {@link #start} starts its thread. */
  public ConfigurationPoller(
      ConfigurationReader reader, RuntimeClock clock, RandomGenerator random) {
    this.reader = Objects.requireNonNull(reader);
    this.clock = Objects.requireNonNull(clock);
    this.random = Objects.requireNonNull(random);
  }

  /** Starts the thread. */
  public synchronized ConfigurationPoller start() {
    thread = DaemonThreads.start("configuration-reader", this::run);
    return this;
  }

  @Override
  public synchronized void close() {
    if (thread != null) {
      thread.interrupt();
    }
  }

  private void run() {
    while (!Thread.currentThread().isInterrupted()) {
      poll();
      try {
        clock.sleep(ConfigurationReader.randomPollDelay(random));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void poll() {
    try {
      ConfigurationReader.PollResult result = reader.poll();
      if (result == ConfigurationReader.PollResult.DOCUMENT_MISSING
          || result == ConfigurationReader.PollResult.NOT_UNDERSTOOD) {
        logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
            "a newer revision cannot be put in force: %s", result);
      }
    } catch (PlatformException e) {
      logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).withCause(e).log(
          "cannot read the configuration; the one in force is kept");
    } catch (RuntimeException e) {
      // If the thread ended, this host would stay on an old revision permanently.
      logger.atSevere().withCause(e).log("unexpected exception while reading the configuration");
    }
  }
}
