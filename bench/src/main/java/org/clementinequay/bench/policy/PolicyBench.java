package org.clementinequay.bench.policy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Compares the routing policies with baselines in simulations that use a virtual clock and a fixed
 * seed.
 */
public final class PolicyBench {
  private static final String USAGE =
      "usage: bench policy [cascade|escalation|rollout|placement|engines|limits|all] [--seed N] [--out DIRECTORY]";

  private PolicyBench() {}

  /**
   * Runs the measurements named in the arguments, prints their tables, and writes JSON files and
   * SVG plots. Without a name, all measurements run.
   *
   * @return exit code: 0 done, 2 usage error
   * @throws IOException if a result file cannot be written
   */
  public static int run(List<String> args) throws IOException {
    OptionParser parser = new OptionParser();
    OptionSpec<Long> seed =
        parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
    OptionSpec<String> out = parser.accepts("out").withRequiredArg().defaultsTo("docs/plots");
    OptionSpec<String> names = parser.nonOptions();
    OptionSet options;
    try {
      options = parser.parse(args.toArray(new String[0]));
    } catch (OptionException e) {
      System.err.println(e.getMessage());
      System.err.println(USAGE);
      return 2;
    }
    List<String> measurements = options.valuesOf(names);
    List<String> all =
        List.of("cascade", "escalation", "rollout", "placement", "engines", "limits");
    if (measurements.isEmpty() || measurements.contains("all")) {
      measurements = all;
    }
    if (!all.containsAll(measurements)) {
      System.err.println(USAGE);
      return 2;
    }
    for (String name : measurements) {
      Results results = new Results(name, options.valueOf(seed), Path.of(options.valueOf(out)));
      measure(name, results);
      results.write();
    }
    return 0;
  }

  private static void measure(String name, Results results) throws IOException {
    switch (name) {
      case "cascade" -> new CascadeBench(results).run();
      case "escalation" -> new EscalationBench(results).run();
      case "rollout" -> new RolloutBench(results).run();
      case "placement" -> new PlacementBench(results).run();
      case "engines" -> new EngineBench(results).run();
      case "limits" -> new LimitsBench(results).run();
      default -> throw new IllegalArgumentException(name);
    }
  }
}
