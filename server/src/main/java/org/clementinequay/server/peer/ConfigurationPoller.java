package org.clementinequay.server.peer;

import com.google.common.flogger.FluentLogger;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.spread.ConfigurationReader;
import org.clementinequay.core.time.RuntimeClock;

/** The duty thread {@code configuration-reader}: reads the head row at a jittered interval. */
public final class ConfigurationPoller implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ConfigurationReader reader;
  private final RuntimeClock clock;
  private final RandomGenerator random;
  private Thread thread;

  /** Creates the duty; {@link #start} starts its thread. */
  public ConfigurationPoller(
      ConfigurationReader reader, RuntimeClock clock, RandomGenerator random) {
    this.reader = Objects.requireNonNull(reader);
    this.clock = Objects.requireNonNull(clock);
    this.random = Objects.requireNonNull(random);
  }

  /** Starts the thread. */
  public synchronized ConfigurationPoller start() {
    thread = Threads.start("configuration-reader", this::run);
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
      step();
      try {
        clock.sleep(ConfigurationReader.randomPollDelay(random));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void step() {
    try {
      ConfigurationReader.PollResult step = reader.poll();
      if (step == ConfigurationReader.PollResult.DOCUMENT_MISSING
          || step == ConfigurationReader.PollResult.NOT_UNDERSTOOD) {
        logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
            "a newer revision cannot be put in force: %s", step);
      }
    } catch (PlatformException e) {
      logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).withCause(e).log(
          "cannot read the configuration; the one in force is kept");
    } catch (RuntimeException e) {
      // A reader that ended would leave this host on an old revision for good.
      logger.atSevere().withCause(e).log("reading the configuration failed");
    }
  }
}
