package org.clementinequay.server.cli;

import java.io.PrintStream;
import java.util.Map;

/**
 * What a command reads and writes besides files.
 *
 * @param out standard output, for results
 * @param err standard error, for messages
 * @param environment environment variables
 */
public record Terminal(PrintStream out, PrintStream err, Map<String, String> environment) {
  /** Returns the terminal of this process. */
  public static Terminal system() {
    return new Terminal(System.out, System.err, System.getenv());
  }
}
