package org.clementinequay.server.gateway;

/** Shortens exceptions for log lines. */
final class Failures {
  /** Maximum number of characters; some messages of Jetty dump the whole state of a connection. */
  private static final int MAX_LENGTH = 80;

  private Failures() {}

  static String summary(Throwable failure) {
    String message = String.valueOf(failure.getMessage());
    String text = failure.getClass().getSimpleName() + ": " + message;
    return text.length() > MAX_LENGTH ? text.substring(0, MAX_LENGTH) : text;
  }
}
