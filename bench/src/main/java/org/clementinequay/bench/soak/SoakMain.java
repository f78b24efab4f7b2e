package org.clementinequay.bench.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Command line for long randomized runs of the scenarios and for checks of the mutants. */
public final class SoakMain {
  private static final int PASSED = 0;
  private static final int VIOLATION = 1;
  private static final int USAGE = 2;
  private static final int MAX_SHOWN_VIOLATIONS = 5;
  private static final int MAX_LINE_LENGTH = 300;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<Double> minutes =
      parser
          .accepts("minutes", "how long to run")
          .withRequiredArg()
          .ofType(Double.class)
          .defaultsTo(1.0);
  private final OptionSpec<Long> seed =
      parser
          .accepts("seed", "first seed; the others follow it")
          .withRequiredArg()
          .ofType(Long.class)
          .defaultsTo(1L);
  private final OptionSpec<Integer> seeds =
      parser
          .accepts("seeds", "number of seeds instead of a time; bound for each mutant")
          .withRequiredArg()
          .ofType(Integer.class);
  private final OptionSpec<String> scenario =
      parser.accepts("scenario", "only this scenario").withRequiredArg();
  private final OptionSpec<Void> mutants =
      parser.accepts("mutants", "disable one mechanism at a time; each must be caught");
  private final OptionSpec<String> mutant =
      parser.accepts("mutant", "only this mutant").withRequiredArg();
  private final OptionSpec<Void> history =
      parser.accepts("history", "print the history of each run");
  private final OptionSpec<Void> help = parser.accepts("help", "show this help").forHelp();

  private final PrintStream out;

  private SoakMain(PrintStream out) {
    this.out = out;
  }

  /** Runs the command line and exits with 0 on success, 1 on a violation and 2 on a usage error. */
  public static void main(String[] args) throws IOException {
    System.exit(run(Arrays.asList(args)));
  }

  /** Runs with the given arguments and returns the exit code without exiting. */
  public static int run(List<String> args) throws IOException {
    return new SoakMain(System.out).execute(args);
  }

  private int execute(List<String> args) throws IOException {
    OptionSet options;
    try {
      options = parser.parse(args.toArray(new String[0]));
      options.valueOf(minutes);
      options.valueOf(seed);
      options.valueOf(seeds);
    } catch (OptionException e) {
      out.println(e.getMessage());
      return USAGE;
    }
    if (options.has(help)) {
      parser.printHelpOn(out);
      return PASSED;
    }
    List<Scenario> selected = List.of(Scenario.values());
    if (options.has(scenario)) {
      Optional<Scenario> found = Scenario.fromLabel(options.valueOf(scenario));
      if (found.isEmpty()) {
        out.println(
            "unknown scenario; there are " + selected.stream().map(Scenario::label).toList());
        return USAGE;
      }
      selected = List.of(found.get());
    }
    return options.has(mutants) || options.has(mutant)
        ? runMutants(options, selected)
        : runScenarios(options, selected);
  }

  private int runScenarios(OptionSet options, List<Scenario> selected) {
    long firstSeed = options.valueOf(seed);
    long start = System.nanoTime();
    long limitNanos = (long) (options.valueOf(minutes) * Duration.ofMinutes(1).toNanos());
    Map<String, Long> counts = new TreeMap<>();
    int failed = 0;
    long runs = 0;
    while (options.has(seeds)
        ? runs < options.valueOf(seeds)
        : System.nanoTime() - start < limitNanos) {
      for (Scenario each : selected) {
        SoakRun.Result result = each.run(firstSeed + runs, Optional.empty());
        result
            .events()
            .forEach(event -> counts.merge(each.label() + " " + event.kind(), 1L, Long::sum));
        if (options.has(history)) {
          result.events().forEach(out::println);
        }
        if (!result.violations().isEmpty()) {
          failed++;
          report(each, result);
        }
      }
      runs++;
    }
    long seconds = Duration.ofNanos(System.nanoTime() - start).toSeconds();
    out.printf("%d seeds from %d in %d s, %d failed runs%n", runs, firstSeed, seconds, failed);
    counts.forEach((kind, count) -> out.printf("  %-40s %d%n", kind, count));
    return failed == 0 ? PASSED : VIOLATION;
  }

  private void report(Scenario failed, SoakRun.Result result) {
    out.printf("VIOLATION in %s, seed %d:%n", failed.label(), result.seed());
    result.violations().stream()
        .limit(MAX_SHOWN_VIOLATIONS)
        .forEach(text -> out.println("  " + shorten(text)));
    out.printf(
        "  replay: bin/soak --scenario %s --seed %d --seeds 1 --history%n",
        failed.label(), result.seed());
  }

  private static String shorten(String text) {
    return text.length() <= MAX_LINE_LENGTH ? text : text.substring(0, MAX_LINE_LENGTH) + " ...";
  }

  private int runMutants(OptionSet options, List<Scenario> selected) {
    int seedsPerMutant = options.has(seeds) ? options.valueOf(seeds) : MutantCheck.DEFAULT_SEEDS;
    boolean allCaught = true;
    for (Scenario each : selected) {
      for (Mutant candidate : each.mutants()) {
        if (options.has(mutant) && !candidate.label().equals(options.valueOf(mutant))) {
          continue;
        }
        MutantCheck check = MutantCheck.run(candidate, options.valueOf(seed), seedsPerMutant);
        allCaught &= check.caught();
        out.println(shorten(check.toString()));
      }
    }
    return allCaught ? PASSED : VIOLATION;
  }
}
