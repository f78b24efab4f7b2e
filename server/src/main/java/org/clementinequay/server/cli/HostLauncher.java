package org.clementinequay.server.cli;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.clementinequay.server.entry.EntryHost;
import org.clementinequay.server.settings.Settings;

/**
 * Runs an entry host until the JVM is told to stop, such as by SIGTERM. The shutdown hook stops the
 * host gracefully; the JVM exits only after its hooks have ended.
 */
public final class HostLauncher implements EntryLauncher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  @Override
  public void run(Settings settings) throws Exception {
    if (settings.tls().isPresent()) {
      // Plain HTTP in its place would send passwords and keys in the clear without notice.
      throw new IOException("the listeners do not support \"tls\" yet");
    }
    EntryHost host = new EntryHost(settings);
    CountDownLatch stopped = new CountDownLatch(1);
    Thread hook = new Thread(() -> stop(host, stopped), "shutdown");
    try {
      host.start();
    } catch (Exception e) {
      host.close();
      throw e;
    }
    Runtime.getRuntime().addShutdownHook(hook);
    stopped.await();
  }

  private static void stop(EntryHost host, CountDownLatch stopped) {
    ExitCode code = ExitCode.DONE;
    try {
      host.close();
    } catch (Exception e) {
      logger.atSevere().withCause(e).log("the entry host did not stop cleanly");
      code = ExitCode.REFUSED;
    }
    stopped.countDown();
    // After SIGTERM the JVM would exit with 143, which service managers take for a failure.
    Runtime.getRuntime().halt(code.number());
  }
}
