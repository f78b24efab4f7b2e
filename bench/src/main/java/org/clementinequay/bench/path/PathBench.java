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
 * Measures the overhead of the request path: compares the same load sent directly to stand-in
 * engines and through one entry host, at 10% and at 100% of the target rate. {@code bin/bench}
 * starts the processes.
 */
public final class PathBench {
  /**
   * 20 times the share of one node at the peak load expected in two years, which is 4,300 requests
   * per second over 330 nodes.
   */
  private static final double TARGET_REQUESTS_PER_SECOND = 260;

  /** 20 times the share of one node in 1.7 million tokens per second. */
  private static final double TARGET_TOKENS_PER_SECOND = 103_000;

  private static final int TOKENS_PER_REQUEST =
      (int) (TARGET_TOKENS_PER_SECOND / TARGET_REQUESTS_PER_SECOND);

  /** Unit of the processor times in {@code /proc/<pid>/stat}: clock ticks per second. */
  private static final double CLOCK_TICKS_PER_SECOND = 100;

  private static final double NANOS_PER_MILLI = 1e6;

  private final ObjectNode report = new ObjectMapper().createObjectNode();

  private PathBench() {}

  /** Runs both load levels and prints the results as text and as JSON; see {@code bin/bench}. */
  public static void run(List<String> args) throws Exception {
    OptionParser parser = new OptionParser();
    OptionSpec<String> engineAddresses =
        parser.accepts("direct").withRequiredArg().withValuesSeparatedBy(',').required();
    OptionSpec<String> entryHostAddress = parser.accepts("through").withRequiredArg().required();
    OptionSpec<String> directModel = parser.accepts("direct-model").withRequiredArg().required();
    OptionSpec<String> model = parser.accepts("model").withRequiredArg().required();
    OptionSpec<String> apiKey = parser.accepts("api-key").withRequiredArg().required();
    OptionSpec<Long> pid = parser.accepts("pid").withRequiredArg().ofType(Long.class).required();
    OptionSpec<Integer> seconds =
        parser.accepts("seconds").withRequiredArg().ofType(Integer.class).defaultsTo(10);
    OptionSet options = parser.parse(args.toArray(String[]::new));
    String[] engineUrls =
        options.valuesOf(engineAddresses).stream()
            .map(address -> "http://" + address)
            .toArray(String[]::new);
    String[] entryHostUrls = {"http://" + options.valueOf(entryHostAddress)};
    PathBench bench = new PathBench();
    int phaseSeconds = options.valueOf(seconds);
    try (LoadGenerator generator = new LoadGenerator()) {
      for (double targetFraction : new double[] {0.1, 1}) {
        double ratePerSecond = TARGET_REQUESTS_PER_SECOND * targetFraction;
        bench.runPhase(
            generator,
            loadPhase(engineUrls, options.valueOf(directModel), "", ratePerSecond, phaseSeconds),
            loadPhase(
                entryHostUrls,
                options.valueOf(model),
                options.valueOf(apiKey),
                ratePerSecond,
                phaseSeconds),
            options.valueOf(pid),
            targetFraction);
      }
    }
    System.out.println(bench.report.toPrettyString());
  }

  private static LoadGenerator.LoadPhase loadPhase(
      String[] urls, String model, String apiKey, double ratePerSecond, int seconds) {
    return new LoadGenerator.LoadPhase(
        urls, model, apiKey, ratePerSecond, TOKENS_PER_REQUEST, seconds);
  }

  private void runPhase(
      LoadGenerator generator,
      LoadGenerator.LoadPhase directPhase,
      LoadGenerator.LoadPhase routedPhase,
      long pid,
      double targetFraction)
      throws Exception {
    generator.run(warmUp(directPhase));
    LoadGenerator.PhaseResult directResult = generator.run(directPhase);
    generator.run(warmUp(routedPhase));
    double cpuSecondsBefore = readCpuSeconds(pid);
    LoadGenerator.PhaseResult routedResult = generator.run(routedPhase);
    double coresUsed = (readCpuSeconds(pid) - cpuSecondsBefore) / routedResult.elapsedSeconds;
    printSummary(targetFraction, directResult, routedResult, coresUsed);
    record(targetFraction, directResult, routedResult, coresUsed);
  }

  private static LoadGenerator.LoadPhase warmUp(LoadGenerator.LoadPhase phase) {
    return new LoadGenerator.LoadPhase(
        phase.urls(), phase.model(), phase.apiKey(), phase.ratePerSecond(), phase.tokens(), 3);
  }

  /** Returns the user and system processor time of a process so far, in seconds. */
  private static double readCpuSeconds(long pid) throws IOException {
    String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / CLOCK_TICKS_PER_SECOND;
  }

  private static double percentileMillis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
  }

  private static void printSummary(
      double targetFraction,
      LoadGenerator.PhaseResult directResult,
      LoadGenerator.PhaseResult routedResult,
      double coresUsed) {
    System.out.printf(
        Locale.ROOT,
        "%.0f%% of target: %.0f requests/s, %.0f tokens/s through one entry host%n",
        targetFraction * 100,
        routedResult.completed.sum() / routedResult.elapsedSeconds,
        routedResult.tokens.sum() / routedResult.elapsedSeconds);
    System.out.printf(
        Locale.ROOT, "%-22s %10s %10s %10s%n", "milliseconds", "direct", "routed", "added");
    printRow(
        "first token p50",
        percentileMillis(directResult.firstTokenNanos, 50),
        percentileMillis(routedResult.firstTokenNanos, 50));
    printRow(
        "first token p99",
        percentileMillis(directResult.firstTokenNanos, 99),
        percentileMillis(routedResult.firstTokenNanos, 99));
    printRow(
        "gap p50",
        percentileMillis(directResult.tokenGapNanos, 50),
        percentileMillis(routedResult.tokenGapNanos, 50));
    printRow(
        "gap p99",
        percentileMillis(directResult.tokenGapNanos, 99),
        percentileMillis(routedResult.tokenGapNanos, 99));
    System.out.printf(
        Locale.ROOT,
        "whole %d, failed %d (direct: %d, %d); %.2f cores; %.0f requests/s and %.0f tokens/s"
            + " per core%n%n",
        routedResult.completed.sum(),
        routedResult.failed.sum(),
        directResult.completed.sum(),
        directResult.failed.sum(),
        coresUsed,
        routedResult.completed.sum() / routedResult.elapsedSeconds / coresUsed,
        routedResult.tokens.sum() / routedResult.elapsedSeconds / coresUsed);
  }

  private static void printRow(String name, double directMillis, double routedMillis) {
    System.out.printf(
        Locale.ROOT,
        "%-22s %10.2f %10.2f %10.2f%n",
        name,
        directMillis,
        routedMillis,
        routedMillis - directMillis);
  }

  private void record(
      double targetFraction,
      LoadGenerator.PhaseResult directResult,
      LoadGenerator.PhaseResult routedResult,
      double coresUsed) {
    ObjectNode phase =
        report.putObject(String.format(Locale.ROOT, "%.0f_percent", targetFraction * 100));
    phase.put("requests_per_second", routedResult.completed.sum() / routedResult.elapsedSeconds);
    phase.put("tokens_per_second", routedResult.tokens.sum() / routedResult.elapsedSeconds);
    phase.put("whole", routedResult.completed.sum()).put("failed", routedResult.failed.sum());
    phase.put("cores", coresUsed);
    addPercentiles(phase.putObject("direct_ms"), directResult);
    addPercentiles(phase.putObject("routed_ms"), routedResult);
  }

  private static void addPercentiles(ObjectNode node, LoadGenerator.PhaseResult result) {
    for (double percentile : new double[] {50, 95, 99}) {
      String suffix = "_p" + (int) percentile;
      node.put("first_token" + suffix, percentileMillis(result.firstTokenNanos, percentile));
      node.put("gap" + suffix, percentileMillis(result.tokenGapNanos, percentile));
    }
  }
}
