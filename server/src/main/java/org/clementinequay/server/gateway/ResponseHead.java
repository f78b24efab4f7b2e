package org.clementinequay.server.gateway;

import java.util.Optional;
import java.util.OptionalInt;
import org.eclipse.jetty.http.HttpFields;

/**
 * Decoded head of an upstream's response.
 *
 * @param status HTTP status
 * @param requestId id of the request to which the upstream responds
 * @param notRun whether the upstream states that it has not run the request and never will
 * @param misdirected whether another process than the expected instance responded
 * @param sealed whether the response has the upstream's message authentication code
 * @param leaving whether the upstream states that it will stop soon and wants no new requests
 * @param confidence confidence that the model assigns to its answer, 0 to 100; empty if it has none
 * @param returned headers that are returned to the caller
 */
public record ResponseHead(
    int status,
    Optional<String> requestId,
    boolean notRun,
    boolean misdirected,
    boolean sealed,
    boolean leaving,
    OptionalInt confidence,
    HttpFields returned) {
  boolean success() {
    return status >= 200 && status < 300;
  }
}
