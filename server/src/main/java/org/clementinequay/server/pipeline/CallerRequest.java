package org.clementinequay.server.pipeline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A request as received from the caller, parsed but not yet authorised.
 *
 * @param kind whether the request is a chat completion or the call of a route
 * @param apiKeySha256 hexadecimal digest of the API key
 * @param target name of the model, cascade or route
 * @param requestClass name of the request class; empty for the default, which is the class with the
 *     lowest priority
 * @param idempotencyKey idempotency key chosen by the caller
 * @param sessionToken session token that an earlier answer returned
 * @param deadlineMillis time allowed for the complete answer, in milliseconds; empty for the
 *     deadline of the request class
 * @param stream whether the caller wants server-sent events
 * @param chat parsed body of a chat completion; null for a route
 * @param body body as received
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
  /** Rejects a request without kind or target. */
  public CallerRequest {
    Objects.requireNonNull(kind);
    Objects.requireNonNull(target);
  }

  /** The type of request, which determines what {@link #target} names. */
  public enum Kind {
    CHAT,
    ROUTE
  }
}
