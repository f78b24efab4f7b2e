package org.clementinequay.bench;

import java.util.Arrays;
import java.util.List;
import org.clementinequay.bench.capacity.CapacityBench;
import org.clementinequay.bench.capacity.PeerLinkBench;
import org.clementinequay.bench.faults.FaultsBench;
import org.clementinequay.bench.path.OpenStreamHolder;
import org.clementinequay.bench.path.PathBench;
import org.clementinequay.bench.policy.PolicyBench;
import org.clementinequay.server.logging.JsonLogging;

/** Command line of the measurements, started by {@code bin/bench}. */
public final class Main {
  private static final int EXIT_USAGE = 2;

  private Main() {}

  /** Runs the measurement named by the first argument; the remaining arguments are its options. */
  public static void main(String[] args) throws Exception {
    JsonLogging.install(System.err);
    String measurement = args.length == 0 ? "" : args[0];
    List<String> options = Arrays.asList(args).subList(Math.min(1, args.length), args.length);
    switch (measurement) {
      case "path" -> PathBench.run(options);
      case "hold" -> OpenStreamHolder.run(options);
      case "peers" -> PeerLinkBench.run(options);
      case "capacity" -> CapacityBench.run(options);
      case "faults" -> System.exit(FaultsBench.run(options));
      case "policy" -> System.exit(PolicyBench.run(options));
      default -> {
        System.err.println("usage: bench path|hold|peers|capacity|faults|policy [options]");
        System.exit(EXIT_USAGE);
      }
    }
  }
}
