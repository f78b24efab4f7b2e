package org.clementinequay.server.pipeline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A request as the caller sent it, parsed but not yet authorised.
 *
 * @param kind chat completion or route
 * @param apiKeySha256 hexadecimal digest of the API key
 * @param target name of the model, cascade or route
 * @param requestClass name of the request class; empty for the default of the configuration
 * @param idempotencyKey key chosen by the caller
 * @param sessionToken session token of an earlier answer
 * @param deadlineMillis time for the whole answer, in milliseconds
 * @param stream whether the caller wants server-sent events
 * @param chat parsed body of a chat completion; null for a route
 * @param body bytes of the body
 */
public record CallerRequest(
    Kind kind,
    String apiKeySha256,
    String target,
    String requestClass,
    Optional<String> idempotencyKey,
    Optional<String> sessionToken,
    OptionalLong deadlineMillis,
    boolean stream,
    ObjectNode chat,
    byte[] body) {
  /** Rejects missing parts. */
  public CallerRequest {
    Objects.requireNonNull(kind);
    Objects.requireNonNull(target);
  }

  /** What the caller asks for. */
  public enum Kind {
    CHAT,
    ROUTE
  }
}
