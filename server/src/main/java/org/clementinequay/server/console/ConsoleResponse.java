package org.clementinequay.server.console;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * An HTTP response of the console.
 *
 * @param status HTTP status code
 * @param headers headers in addition to those that {@link #send} adds to every response
 * @param body the body
 */
record ConsoleResponse(int status, Map<String, String> headers, String body) {
  private static final int OK = 200;
  private static final int SEE_OTHER = 303;

  /** Forbids scripts, content of other origins, framing, and forms that post to other hosts. */
  private static final String CONTENT_SECURITY_POLICY =
      "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none';"
          + " base-uri 'none'";

  static ConsoleResponse page(String body) {
    return page(OK, body);
  }

  static ConsoleResponse page(int status, String body) {
    return new ConsoleResponse(status, Map.of("Content-Type", "text/html; charset=utf-8"), body);
  }

  static ConsoleResponse stylesheet(String body) {
    return new ConsoleResponse(OK, Map.of("Content-Type", "text/css; charset=utf-8"), body);
  }

  static ConsoleResponse redirect(String path) {
    return new ConsoleResponse(SEE_OTHER, Map.of("Location", path), "");
  }

  static ConsoleResponse redirect(String path, String cookie) {
    return new ConsoleResponse(SEE_OTHER, Map.of("Location", path, "Set-Cookie", cookie), "");
  }

  void send(Response response, Callback callback) {
    response.setStatus(status);
    headers.forEach((name, value) -> response.getHeaders().put(name, value));
    response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
    response.getHeaders().put("Content-Security-Policy", CONTENT_SECURITY_POLICY);
    response.getHeaders().put("X-Content-Type-Options", "nosniff");
    response.getHeaders().put("Referrer-Policy", "same-origin");
    response.write(true, ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)), callback);
  }
}
