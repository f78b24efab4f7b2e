package org.clementinequay.server.gateway;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.server.Request;

/** Size of the head of a request in HTTP/1.1 as far as it can be told from the parsed request. */
final class RequestHeadSize {
  private static final int LINE_END_BYTES = 2;
  private static final int MIN_FIELD_SEPARATOR_BYTES = 1;

  /** Two spaces and the version. */
  private static final int REQUEST_LINE_REST_BYTES = 10;

  private RequestHeadSize() {}

  /**
   * Returns the size in bytes, from the method to the empty line, without spaces that the caller
   * need not send.
   */
  static int minBytes(Request request) {
    int sum =
        request.getMethod().length()
            + request.getHttpURI().getPathQuery().length()
            + REQUEST_LINE_REST_BYTES
            + LINE_END_BYTES;
    for (HttpField field : request.getHeaders()) {
      sum += field.getName().length() + MIN_FIELD_SEPARATOR_BYTES + LINE_END_BYTES;
      sum += field.getValue() == null ? 0 : field.getValue().length();
    }
    return sum + LINE_END_BYTES;
  }
}
