package org.clementinequay.server.console;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * An answer of the console.
 *
 * @param status HTTP status code
 * @param headers headers besides those that every answer has
 * @param body the body
 */
record ConsoleReply(int status, Map<String, String> headers, String body) {
  private static final int OK = 200;
  private static final int SEE_OTHER = 303;

  /** No scripts, no foreign content, no frames, and forms only to this host. */
  private static final String POLICY =
      "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none';"
          + " base-uri 'none'";

  static ConsoleReply page(String body) {
    return page(OK, body);
  }

  static ConsoleReply page(int status, String body) {
    return new ConsoleReply(status, Map.of("Content-Type", "text/html; charset=utf-8"), body);
  }

  static ConsoleReply style(String body) {
    return new ConsoleReply(OK, Map.of("Content-Type", "text/css; charset=utf-8"), body);
  }

  static ConsoleReply redirect(String path) {
    return new ConsoleReply(SEE_OTHER, Map.of("Location", path), "");
  }

  static ConsoleReply redirect(String path, String cookie) {
    return new ConsoleReply(SEE_OTHER, Map.of("Location", path, "Set-Cookie", cookie), "");
  }

  void send(Response response, Callback callback) {
    response.setStatus(status);
    headers.forEach((name, value) -> response.getHeaders().put(name, value));
    response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
    response.getHeaders().put("Content-Security-Policy", POLICY);
    response.getHeaders().put("X-Content-Type-Options", "nosniff");
    response.getHeaders().put("Referrer-Policy", "same-origin");
    response.write(true, ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)), callback);
  }
}
