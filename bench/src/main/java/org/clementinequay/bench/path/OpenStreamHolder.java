package org.clementinequay.bench.path;

import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Keeps streams open through an entry host, so that their memory can be read there. */
public final class OpenStreamHolder {
  private static final double RATE_PER_SECOND = 500;

  /** At 10 ms a token this is five minutes, longer than the reading takes. */
  private static final int TOKENS = 30_000;

  private OpenStreamHolder() {}

  /** Opens the streams, prints {@code holding}, and waits until they end. */
  public static void run(List<String> args) throws Exception {
    OptionParser parser = new OptionParser();
    OptionSpec<String> through = parser.accepts("through").withRequiredArg().required();
    OptionSpec<String> model = parser.accepts("model").withRequiredArg().required();
    OptionSpec<String> apiKey = parser.accepts("api-key").withRequiredArg().required();
    OptionSpec<Integer> streams =
        parser.accepts("streams").withRequiredArg().ofType(Integer.class).required();
    OptionSet options = parser.parse(args.toArray(String[]::new));
    int seconds = (int) Math.ceil(options.valueOf(streams) / RATE_PER_SECOND);
    LoadGenerator.Load load =
        new LoadGenerator.Load(
            new String[] {"http://" + options.valueOf(through)},
            options.valueOf(model),
            options.valueOf(apiKey),
            RATE_PER_SECOND,
            TOKENS,
            seconds);
    try (LoadGenerator generator = new LoadGenerator()) {
      Thread announcer = new Thread(() -> announce(seconds), "announcer");
      announcer.setDaemon(true);
      announcer.start();
      generator.run(load);
    }
  }

  private static void announce(int seconds) {
    try {
      Thread.sleep((seconds + 2) * 1000L);
      System.out.println("holding");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
