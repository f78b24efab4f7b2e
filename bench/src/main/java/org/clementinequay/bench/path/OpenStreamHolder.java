package org.clementinequay.bench.path;

import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Keeps streams open through an entry host while the heap of that host is measured. */
public final class OpenStreamHolder {
  private static final double STREAMS_OPENED_PER_SECOND = 500;

  /** At 10 ms per token a stream stays open for five minutes, longer than the measurement takes. */
  private static final int TOKENS_PER_STREAM = 30_000;

  private OpenStreamHolder() {}

  /**
   * Opens the streams at a fixed rate, prints {@code holding} two seconds after the last one was
   * due to start, and waits until all have ended.
   */
  public static void run(List<String> args) throws Exception {
    OptionParser parser = new OptionParser();
    OptionSpec<String> entryHost = parser.accepts("through").withRequiredArg().required();
    OptionSpec<String> model = parser.accepts("model").withRequiredArg().required();
    OptionSpec<String> apiKey = parser.accepts("api-key").withRequiredArg().required();
    OptionSpec<Integer> streamCount =
        parser.accepts("streams").withRequiredArg().ofType(Integer.class).required();
    OptionSet options = parser.parse(args.toArray(String[]::new));
    int openingSeconds = (int) Math.ceil(options.valueOf(streamCount) / STREAMS_OPENED_PER_SECOND);
    LoadGenerator.LoadPhase phase =
        new LoadGenerator.LoadPhase(
            new String[] {"http://" + options.valueOf(entryHost)},
            options.valueOf(model),
            options.valueOf(apiKey),
            STREAMS_OPENED_PER_SECOND,
            TOKENS_PER_STREAM,
            openingSeconds);
    try (LoadGenerator generator = new LoadGenerator()) {
      Thread announcer = new Thread(() -> announceHolding(openingSeconds), "announcer");
      announcer.setDaemon(true);
      announcer.start();
      generator.run(phase);
    }
  }

  private static void announceHolding(int openingSeconds) {
    try {
      Thread.sleep((openingSeconds + 2) * 1000L);
      System.out.println("holding");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
