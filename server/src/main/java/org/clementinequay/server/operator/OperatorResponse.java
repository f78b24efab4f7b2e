package org.clementinequay.server.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * HTTP response to an operator.
 *
 * @param status HTTP status code
 * @param contentType media type of the body
 * @param body text of the body, sent in UTF-8
 */
record OperatorResponse(int status, String contentType, String body) {
  private static final int OK = 200;
  private static final String JSON = "application/json";

  static OperatorResponse json(int status, Object value) {
    return new OperatorResponse(status, JSON, OperatorJson.text(value) + "\n");
  }

  static OperatorResponse ok(Object value) {
    return json(OK, value);
  }

  static OperatorResponse error(OperatorFault.Kind kind, String message) {
    return error(kind, message, OperatorJson.object());
  }

  static OperatorResponse error(OperatorFault.Kind kind, String message, ObjectNode details) {
    ObjectNode error = OperatorJson.object().put("code", kind.code()).put("message", message);
    error.setAll(details);
    ObjectNode body = OperatorJson.object();
    body.set("error", error);
    return json(kind.status(), body);
  }

  void send(Response response, Callback callback) {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
    response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
    if (status == OperatorFault.Kind.UNAUTHENTICATED.status()) {
      response
          .getHeaders()
          .put(HttpHeader.WWW_AUTHENTICATE, "Basic realm=\"operators\", charset=\"UTF-8\"");
    }
    response.write(true, ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)), callback);
  }
}
