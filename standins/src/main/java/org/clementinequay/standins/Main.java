package org.clementinequay.standins;

/** Starts one stand-in as a process. */
public final class Main {
  private static final int EXIT_USAGE = 2;

  private Main() {}

  /** Runs the stand-in named by the first argument with the remaining ones as options. */
  public static void main(String[] args) {
    System.err.println("usage: standins platform|engine|service|rating --port N [options]");
    System.exit(EXIT_USAGE);
  }
}
