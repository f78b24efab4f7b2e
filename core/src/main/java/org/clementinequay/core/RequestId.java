package org.clementinequay.core;

/**
 * Identity of a request, unique over all entry hosts and all time.
 *
 * @param incarnation the entry host process that accepted the request
 * @param sequence number of the request within that process, from 1
 */
public record RequestId(Incarnation incarnation, long sequence) {
  /** Parses the form produced by {@link #toString()}. */
  public static RequestId parse(String text) {
    int dash = text.indexOf('-');
    if (dash < 0) {
      throw new IllegalArgumentException("not a request id: " + text);
    }
    return new RequestId(
        new Incarnation(text.substring(0, dash)), Long.parseLong(text.substring(dash + 1)));
  }

  /** Returns the id of an attempt to run this request. */
  public AttemptId attempt(int number) {
    return new AttemptId(this, number);
  }

  @Override
  public String toString() {
    return incarnation + "-" + sequence;
  }
}
