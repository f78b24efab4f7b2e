package org.clementinequay.core;

/**
 * Identifier of a request, unique across all entry hosts and restarts.
 *
 * @param incarnation run of the entry host process that accepted the request
 * @param sequence number of the request within that run, starting at 1
 */
public record RequestId(Incarnation incarnation, long sequence) {
  /**
   * Parses the form produced by {@link #toString()}.
   *
   * @throws IllegalArgumentException if the text does not have this form
   */
  public static RequestId parse(String text) {
    int dash = text.indexOf('-');
    if (dash < 0) {
      throw new IllegalArgumentException("not a request id: " + text);
    }
    return new RequestId(
        new Incarnation(text.substring(0, dash)), Long.parseLong(text.substring(dash + 1)));
  }

  /** Returns the id of an attempt to run this request; attempts are numbered from 1. */
  public AttemptId attempt(int number) {
    return new AttemptId(this, number);
  }

  @Override
  public String toString() {
    return incarnation + "-" + sequence;
  }
}
