package org.clementinequay.server.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Headers and bodies of error responses that the router itself generates. */
final class ErrorResponses {
  /** Value of {@code Retry-After} where no better estimate is known, in seconds. */
  static final double DEFAULT_RETRY_AFTER_SECONDS = 0.5;

  static final int BAD_GATEWAY = 502;
  static final int UNAVAILABLE = 503;
  static final int GATEWAY_TIMEOUT = 504;

  private ErrorResponses() {}

  static byte[] body(String reason) {
    return (reason + "\n").getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the headers of an error response; only status 503 has {@code Retry-After}. */
  static HttpFields headers(int status, double retryAfterSeconds) {
    HttpFields.Mutable fields = HttpFields.build().put(HttpHeader.CONTENT_TYPE, "text/plain");
    if (status == UNAVAILABLE) {
      fields.put(HttpHeader.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", retryAfterSeconds));
    }
    return fields;
  }
}
