package org.clementinequay.server.cli;

import java.io.PrintStream;
import java.util.Map;

/**
 * Standard streams and environment variables of a command.
 *
 * @param out standard output, for results
 * @param err standard error, for findings and error messages
 * @param environment environment variables
 */
public record Terminal(PrintStream out, PrintStream err, Map<String, String> environment) {
  /** Returns the streams and environment of this process. */
  public static Terminal system() {
    return new Terminal(System.out, System.err, System.getenv());
  }
}
