package org.clementinequay.server.pipeline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.clementinequay.core.ModelVersion;

/** Builds the bodies sent to engines and the rating service from the body of a chat completion. */
final class ChatRequestBody {
  private static final List<String> ROUTER_FIELDS =
      List.of("session", "request_class", "deadline_ms");

  private ChatRequestBody() {}

  /** Returns the text that is sent to the rating service as the prompt. */
  static String prompt(Exchange exchange) {
    return exchange.request().chat().path("messages").toString();
  }

  static byte[] forUpstream(ObjectNode chat, ModelVersion version) {
    ObjectNode body = chat.deepCopy();
    body.remove(ROUTER_FIELDS);
    body.put("model", version.toString());
    body.put("stream", true);
    return body.toString().getBytes(StandardCharsets.UTF_8);
  }
}
