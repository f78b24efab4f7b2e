package org.clementinequay.server.entry;

import com.google.common.flogger.FluentLogger;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import org.clementinequay.server.cli.EntryLauncher;
import org.clementinequay.server.settings.Settings;

/** Runs an entry host as the whole process: SIGTERM stops it gracefully with exit code 0. */
public final class EntryProcess implements EntryLauncher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Property that fixes the random choices, for demonstrations that must be repeatable. */
  private static final String SEED_PROPERTY = "clementinequay.random.seed";

  private static final int EXIT_DONE = 0;
  private static final int EXIT_FAILED = 1;

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
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(host), "shutdown"));
    new CountDownLatch(1).await();
  }

  /** Ends by halting: a JVM that was sent SIGTERM would otherwise exit with 143. */
  private static void stop(EntryHost host) {
    int code = EXIT_DONE;
    try {
      host.close();
    } catch (Exception e) {
      logger.atSevere().withCause(e).log("graceful shutdown failed");
      code = EXIT_FAILED;
    }
    Runtime.getRuntime().halt(code);
  }
}
