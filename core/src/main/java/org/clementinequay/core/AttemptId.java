package org.clementinequay.core;

/**
 * Unique identifier of one attempt to run a request on an upstream.
 *
 * @param request id of the request
 * @param number number of the attempt within the request, starting at 1; counts both retries and
 *     cascade steps
 */
public record AttemptId(RequestId request, int number) {
  /**
   * Parses the form produced by {@link #toString()}.
   *
   * @throws IllegalArgumentException if the text does not have this form
   */
  public static AttemptId parse(String text) {
    int dot = text.lastIndexOf('.');
    if (dot < 0) {
      throw new IllegalArgumentException("not an attempt id: " + text);
    }
    return new AttemptId(
        RequestId.parse(text.substring(0, dot)), Integer.parseInt(text.substring(dot + 1)));
  }

  @Override
  public String toString() {
    return request + "." + number;
  }
}
