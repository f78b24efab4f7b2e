package org.clementinequay.server.pipeline;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** What an idempotency key stands for: the route and the body, so that a key serves one route. */
final class ClaimBody {
  private ClaimBody() {}

  static byte[] of(String route, byte[] body) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(route.length() + 1 + body.length);
    bytes.writeBytes(route.getBytes(StandardCharsets.UTF_8));
    bytes.write('\n');
    bytes.writeBytes(body);
    return bytes.toByteArray();
  }
}
