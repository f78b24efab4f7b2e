package org.clementinequay.bench.faults;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Measures what callers of non-idempotent routes experience under faults, for keys that the caller
 * makes and keys that the router issues. The claim decisions are those of the core; hosts, store
 * and links are fakes in virtual time.
 */
public final class FaultsBench {
  private static final long TAIL_MILLIS = 5_000;
  private static final int USAGE_ERROR = 2;

  private FaultsBench() {}

  /**
   * Runs the scenarios, prints the figures and returns the exit code. Options: {@code --rate} of
   * operations a second, {@code --seeds} number of runs, {@code --fault} text in the names of the
   * scenarios to run, {@code --json}.
   */
  public static int run(List<String> args) {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> rate =
        parser.accepts("rate").withRequiredArg().ofType(Integer.class).defaultsTo(100);
    OptionSpec<Integer> seeds =
        parser.accepts("seeds").withRequiredArg().ofType(Integer.class).defaultsTo(5);
    OptionSpec<String> fault = parser.accepts("fault").withRequiredArg().defaultsTo("");
    OptionSpec<Void> json = parser.accepts("json");
    try {
      OptionSet options = parser.parse(args.toArray(new String[0]));
      List<Tally.Figures> figures =
          measure(options.valueOf(fault), options.valueOf(rate), options.valueOf(seeds));
      System.out.println(options.has(json) ? json(figures) : table(figures));
      boolean broken = figures.stream().anyMatch(f -> f.duplicates() + f.falseRefusals() > 0);
      return broken ? 1 : 0;
    } catch (OptionException e) {
      System.err.println(e.getMessage());
      return USAGE_ERROR;
    }
  }

  private static List<Tally.Figures> measure(String fault, int ratePerSecond, int seeds) {
    List<Tally.Figures> figures = new ArrayList<>();
    List<FaultScenario> scenarios =
        FaultScenario.all().stream().filter(each -> each.name().contains(fault)).toList();
    for (FaultScenario scenario : scenarios) {
      for (KeyScheme scheme : KeyScheme.values()) {
        Tally tally = new Tally(scenario, scheme);
        for (int seed = 1; seed <= seeds; seed++) {
          run(scenario, scheme, tally, ratePerSecond, seed);
        }
        figures.add(tally.figures());
      }
    }
    return figures;
  }

  private static void run(
      FaultScenario scenario, KeyScheme scheme, Tally tally, int ratePerSecond, long seed) {
    World world = new World(scenario, seed);
    long end = FaultScenario.FAULT_START + scenario.windowMillis() + TAIL_MILLIS;
    long count = end * ratePerSecond / 1000;
    for (long i = 0; i < count; i++) {
      long number = i;
      world.at(
          number * 1000 / ratePerSecond, () -> new Operation(world, scheme, tally, number).start());
    }
    world.run();
  }

  private static String table(List<Tally.Figures> figures) {
    StringBuilder out = new StringBuilder();
    out.append(
        String.format(
            "%-24s %-29s %7s %9s %8s %8s %5s %6s%n",
            "fault", "keys", "number", "answered", "refused", "unknown", "dupl.", "false"));
    for (Tally.Figures f : figures) {
      out.append(
          String.format(
              Locale.ROOT,
              "%-24s %-29s %7d %8.3f%% %7.3f%% %7.3f%% %5d %6d%n",
              f.scenario(),
              f.scheme(),
              f.operations(),
              100 * f.answered(),
              100 * f.refused(),
              100 * f.unknown(),
              f.duplicates(),
              f.falseRefusals()));
    }
    return out.toString();
  }

  private static String json(List<Tally.Figures> figures) {
    try {
      return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(figures);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("figures are plain records", e);
    }
  }
}
