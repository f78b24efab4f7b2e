package org.clementinequay.bench.path;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.HdrHistogram.Histogram;

/**
 * Compares the same load sent straight to stand-in engines and through one entry host, at a tenth
 * of the target rate and at the target rate. The processes are started by {@code bin/bench}.
 */
public final class PathBench {
  /** 20 times one node's share of the two-year peak: 4,300 requests a second over 330 nodes. */
  private static final double TARGET_REQUESTS_PER_SECOND = 260;

  /** 20 times one node's share of 1.7 million tokens a second. */
  private static final double TARGET_TOKENS_PER_SECOND = 103_000;

  private static final int TOKENS_PER_REQUEST =
      (int) (TARGET_TOKENS_PER_SECOND / TARGET_REQUESTS_PER_SECOND);

  /** Clock ticks in a second of processor time in the process table. */
  private static final double TICKS_PER_SECOND = 100;

  private static final double NANOS_PER_MILLI = 1e6;

  private final ObjectNode json = new ObjectMapper().createObjectNode();

  private PathBench() {}

  /** Runs the measurement; see {@code bin/bench help}. */
  public static void run(List<String> args) throws Exception {
    OptionParser parser = new OptionParser();
    OptionSpec<String> direct =
        parser.accepts("direct").withRequiredArg().withValuesSeparatedBy(',').required();
    OptionSpec<String> through = parser.accepts("through").withRequiredArg().required();
    OptionSpec<String> directModel = parser.accepts("direct-model").withRequiredArg().required();
    OptionSpec<String> model = parser.accepts("model").withRequiredArg().required();
    OptionSpec<String> apiKey = parser.accepts("api-key").withRequiredArg().required();
    OptionSpec<Long> pid = parser.accepts("pid").withRequiredArg().ofType(Long.class).required();
    OptionSpec<Integer> seconds =
        parser.accepts("seconds").withRequiredArg().ofType(Integer.class).defaultsTo(10);
    OptionSet options = parser.parse(args.toArray(String[]::new));
    String[] directUrls =
        options.valuesOf(direct).stream().map(a -> "http://" + a).toArray(String[]::new);
    String[] throughUrls = {"http://" + options.valueOf(through)};
    PathBench bench = new PathBench();
    int length = options.valueOf(seconds);
    try (LoadGenerator generator = new LoadGenerator()) {
      for (double part : new double[] {0.1, 1}) {
        double rate = TARGET_REQUESTS_PER_SECOND * part;
        bench.phase(
            generator,
            load(directUrls, options.valueOf(directModel), "", rate, length),
            load(throughUrls, options.valueOf(model), options.valueOf(apiKey), rate, length),
            options.valueOf(pid),
            part);
      }
    }
    System.out.println(bench.json.toPrettyString());
  }

  private static LoadGenerator.Load load(
      String[] urls, String model, String apiKey, double rate, int seconds) {
    return new LoadGenerator.Load(urls, model, apiKey, rate, TOKENS_PER_REQUEST, seconds);
  }

  private void phase(
      LoadGenerator generator,
      LoadGenerator.Load direct,
      LoadGenerator.Load through,
      long pid,
      double part)
      throws Exception {
    generator.run(warmUp(direct));
    LoadGenerator.Observed alone = generator.run(direct);
    generator.run(warmUp(through));
    double cpuBefore = cpuSeconds(pid);
    LoadGenerator.Observed routed = generator.run(through);
    double cores = (cpuSeconds(pid) - cpuBefore) / routed.elapsedSeconds;
    print(part, alone, routed, cores);
    record(part, alone, routed, cores);
  }

  private static LoadGenerator.Load warmUp(LoadGenerator.Load load) {
    return new LoadGenerator.Load(
        load.urls(), load.model(), load.apiKey(), load.ratePerSecond(), load.tokens(), 3);
  }

  private static double cpuSeconds(long pid) throws IOException {
    String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_SECOND;
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
  }

  private static void print(
      double part, LoadGenerator.Observed alone, LoadGenerator.Observed routed, double cores) {
    System.out.printf(
        Locale.ROOT,
        "%.0f%% of target: %.0f requests/s, %.0f tokens/s through one entry host%n",
        part * 100,
        routed.whole.sum() / routed.elapsedSeconds,
        routed.tokens.sum() / routed.elapsedSeconds);
    System.out.printf(
        Locale.ROOT, "%-22s %10s %10s %10s%n", "milliseconds", "direct", "routed", "added");
    line("first token p50", millis(alone.firstToken, 50), millis(routed.firstToken, 50));
    line("first token p99", millis(alone.firstToken, 99), millis(routed.firstToken, 99));
    line("gap p50", millis(alone.gap, 50), millis(routed.gap, 50));
    line("gap p99", millis(alone.gap, 99), millis(routed.gap, 99));
    System.out.printf(
        Locale.ROOT,
        "whole %d, failed %d (direct: %d, %d); %.2f cores; %.0f requests/s and %.0f tokens/s"
            + " per core%n%n",
        routed.whole.sum(),
        routed.failed.sum(),
        alone.whole.sum(),
        alone.failed.sum(),
        cores,
        routed.whole.sum() / routed.elapsedSeconds / cores,
        routed.tokens.sum() / routed.elapsedSeconds / cores);
  }

  private static void line(String name, double direct, double routed) {
    System.out.printf(
        Locale.ROOT, "%-22s %10.2f %10.2f %10.2f%n", name, direct, routed, routed - direct);
  }

  private void record(
      double part, LoadGenerator.Observed alone, LoadGenerator.Observed routed, double cores) {
    ObjectNode phase = json.putObject(String.format(Locale.ROOT, "%.0f_percent", part * 100));
    phase.put("requests_per_second", routed.whole.sum() / routed.elapsedSeconds);
    phase.put("tokens_per_second", routed.tokens.sum() / routed.elapsedSeconds);
    phase.put("whole", routed.whole.sum()).put("failed", routed.failed.sum());
    phase.put("cores", cores);
    percentiles(phase.putObject("direct_ms"), alone);
    percentiles(phase.putObject("routed_ms"), routed);
  }

  private static void percentiles(ObjectNode node, LoadGenerator.Observed observed) {
    for (double percentile : new double[] {50, 95, 99}) {
      String suffix = "_p" + (int) percentile;
      node.put("first_token" + suffix, millis(observed.firstToken, percentile));
      node.put("gap" + suffix, millis(observed.gap, percentile));
    }
  }
}
