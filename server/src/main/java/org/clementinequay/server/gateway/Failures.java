package org.clementinequay.server.gateway;

/** Short texts of failures for log lines. */
final class Failures {
  /** Longest text; some of Jetty's messages hold the whole state of a connection. */
  private static final int MAX_LENGTH = 80;

  private Failures() {}

  static String summary(Throwable failure) {
    String message = String.valueOf(failure.getMessage());
    String text = failure.getClass().getSimpleName() + ": " + message;
    return text.length() > MAX_LENGTH ? text.substring(0, MAX_LENGTH) : text;
  }
}
