package org.clementinequay.standins;

import java.util.Arrays;

/** Command line that runs one stand-in server in this process. */
public final class Main {
  private static final int EXIT_USAGE = 2;

  private Main() {}

  /** Starts the stand-in named by the first argument; the remaining arguments are its options. */
  public static void main(String[] args) throws Exception {
    if (args.length == 0) {
      System.err.println("usage: standins platform|engine|service|rating --port N [options]");
      System.exit(EXIT_USAGE);
    }
    String[] options = Arrays.copyOfRange(args, 1, args.length);
    StandInServer server =
        switch (args[0]) {
          case "platform" -> PlatformStandIn.parse(options);
          case "engine" -> EngineStandIn.parse(options);
          case "service" -> ServiceStandIn.parse(options);
          case "rating" -> RatingStandIn.parse(options);
          default -> {
            System.err.println("unknown stand-in: " + args[0]);
            System.exit(EXIT_USAGE);
            throw new IllegalStateException();
          }
        };
    server.start();
    Runtime.getRuntime().addShutdownHook(new Thread(server::stop, "shutdown"));
    System.out.println(args[0] + " stand-in listening on port " + server.port());
  }
}
