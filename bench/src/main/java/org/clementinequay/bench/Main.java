package org.clementinequay.bench;

/** Entry point. */
public final class Main {
  private Main() {}

  /** Runs the command line. */
  public static void main(String[] args) {
    System.exit(2);
  }
}
