package org.clementinequay.server.entry;

import com.google.common.flogger.FluentLogger;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import org.clementinequay.server.cli.EntryLauncher;
import org.clementinequay.server.settings.Settings;

/** Runs an entry host until SIGTERM, which stops it gracefully with exit code 0. */
public final class EntryProcess implements EntryLauncher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** System property with the seed of random decisions, for repeatable demonstrations. */
  private static final String SEED_PROPERTY = "clementinequay.random.seed";

  private static final int EXIT_SUCCESS = 0;
  private static final int EXIT_FAILURE = 1;

  @Override
  public void run(Settings settings) throws Exception {
    Long seed = Long.getLong(SEED_PROPERTY);
    EntryHost host =
        seed == null
            ? new EntryHost(settings)
            : new EntryHost(settings, new SplittableRandom(seed));
    try {
      host.start();
    } catch (Exception e) {
      host.close();
      throw e;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stopAndHalt(host), "shutdown"));
    new CountDownLatch(1).await();
  }

  /** Halts the JVM in the end, because it would otherwise exit with code 143 after SIGTERM. */
  private static void stopAndHalt(EntryHost host) {
    int exitCode = EXIT_SUCCESS;
    try {
      host.close();
    } catch (Exception e) {
      logger.atSevere().withCause(e).log("graceful shutdown failed");
      exitCode = EXIT_FAILURE;
    }
    Runtime.getRuntime().halt(exitCode);
  }
}
