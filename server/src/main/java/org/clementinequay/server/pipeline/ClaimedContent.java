package org.clementinequay.server.pipeline;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * The content that an idempotency key is bound to: the route and the body of the request, so that a
 * key is valid for one route only.
 */
final class ClaimedContent {
  private ClaimedContent() {}

  static byte[] of(String route, byte[] body) {
    ByteArrayOutputStream content = new ByteArrayOutputStream(route.length() + 1 + body.length);
    content.writeBytes(route.getBytes(StandardCharsets.UTF_8));
    content.write('\n');
    content.writeBytes(body);
    return content.toByteArray();
  }
}
