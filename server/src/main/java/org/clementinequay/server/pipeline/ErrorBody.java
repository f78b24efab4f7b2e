package org.clementinequay.server.pipeline;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.clementinequay.core.RequestFailedException;
import org.clementinequay.core.RequestId;

/** JSON body of all error responses to callers. */
public final class ErrorBody {
  private static final ObjectMapper JSON = new ObjectMapper();

  private ErrorBody() {}

  /** Returns the body; {@code retry_after_ms} is absent if the failure has no retry time. */
  public static ObjectNode of(RequestFailedException failure, RequestId id) {
    ObjectNode body = JSON.createObjectNode();
    ObjectNode error =
        body.putObject("error")
            .put("code", failure.reason().code())
            .put("message", failure.getMessage())
            .put("outcome", failure.outcome().label())
            .put("request_id", id.toString());
    failure.retryAfter().ifPresent(after -> error.put("retry_after_ms", after.toMillis()));
    return body;
  }
}
