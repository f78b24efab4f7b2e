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
 * Measures the outcomes that callers of non-idempotent routes see under faults, with idempotency
 * keys made by the caller and keys issued by the router. The claim logic is that of the core;
 * hosts, store and links are simulated in virtual time.
 */
public final class FaultsBench {
  private static final long COOL_DOWN_MILLIS = 5_000;
  private static final int EXIT_USAGE = 2;

  private FaultsBench() {}

  /**
   * Runs the scenarios and prints the figures. Options: {@code --rate} (operations per second),
   * {@code --seeds} (runs per scenario and key scheme), {@code --fault} (runs only scenarios whose
   * name contains the text) and {@code --json}.
   *
   * @return the exit code: 0, or 1 if an operation ran twice or a refusal was false, or 2 if the
   *     options are invalid
   */
  public static int run(List<String> args) {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> rate =
        parser.accepts("rate").withRequiredArg().ofType(Integer.class).defaultsTo(100);
    OptionSpec<Integer> seeds =
        parser.accepts("seeds").withRequiredArg().ofType(Integer.class).defaultsTo(5);
    OptionSpec<String> scenarioFilter = parser.accepts("fault").withRequiredArg().defaultsTo("");
    OptionSpec<Void> json = parser.accepts("json");
    try {
      OptionSet options = parser.parse(args.toArray(new String[0]));
      List<OutcomeStatistics.Figures> figures =
          measure(options.valueOf(scenarioFilter), options.valueOf(rate), options.valueOf(seeds));
      System.out.println(options.has(json) ? toJson(figures) : toTable(figures));
      boolean violationFound =
          figures.stream().anyMatch(row -> row.duplicates() + row.falseRefusals() > 0);
      return violationFound ? 1 : 0;
    } catch (OptionException e) {
      System.err.println(e.getMessage());
      return EXIT_USAGE;
    }
  }

  private static List<OutcomeStatistics.Figures> measure(
      String scenarioFilter, int ratePerSecond, int seeds) {
    List<OutcomeStatistics.Figures> figures = new ArrayList<>();
    List<FaultScenario> scenarios =
        FaultScenario.all().stream()
            .filter(scenario -> scenario.name().contains(scenarioFilter))
            .toList();
    for (FaultScenario scenario : scenarios) {
      for (KeyScheme scheme : KeyScheme.values()) {
        OutcomeStatistics statistics = new OutcomeStatistics(scenario, scheme);
        for (int seed = 1; seed <= seeds; seed++) {
          runSimulation(scenario, scheme, statistics, ratePerSecond, seed);
        }
        figures.add(statistics.figures());
      }
    }
    return figures;
  }

  private static void runSimulation(
      FaultScenario scenario,
      KeyScheme scheme,
      OutcomeStatistics statistics,
      int ratePerSecond,
      long seed) {
    Simulation simulation = new Simulation(scenario, seed);
    long endMillis = FaultScenario.FAULT_START_MILLIS + scenario.windowMillis() + COOL_DOWN_MILLIS;
    long operationCount = endMillis * ratePerSecond / 1000;
    for (long i = 0; i < operationCount; i++) {
      long number = i;
      simulation.scheduleAt(
          number * 1000 / ratePerSecond,
          () -> new Operation(simulation, scheme, statistics, number).start());
    }
    simulation.run();
  }

  private static String toTable(List<OutcomeStatistics.Figures> figures) {
    StringBuilder table = new StringBuilder();
    table.append(
        String.format(
            "%-24s %-29s %7s %9s %8s %8s %5s %6s%n",
            "fault", "keys", "number", "answered", "refused", "unknown", "dupl.", "false"));
    for (OutcomeStatistics.Figures row : figures) {
      table.append(
          String.format(
              Locale.ROOT,
              "%-24s %-29s %7d %8.3f%% %7.3f%% %7.3f%% %5d %6d%n",
              row.scenario(),
              row.scheme(),
              row.operations(),
              100 * row.answered(),
              100 * row.refused(),
              100 * row.unknown(),
              row.duplicates(),
              row.falseRefusals()));
    }
    return table.toString();
  }

  private static String toJson(List<OutcomeStatistics.Figures> figures) {
    try {
      return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(figures);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write the figures as JSON", e);
    }
  }
}
