package org.clementinequay.server.gateway;

import java.util.Optional;
import java.util.OptionalInt;
import org.eclipse.jetty.http.HttpFields;

/**
 * Head of an upstream's answer.
 *
 * @param status HTTP status
 * @param requestId id of the request that it answers
 * @param notRun whether the upstream states that it has not run the request and never will
 * @param misdirected whether another process than the expected one answered
 * @param sealed whether the answer carries the upstream's authentication code
 * @param confidence the model's own opinion of the answer, 0 to 100
 * @param returned headers that go to the caller
 */
public record ResponseHead(
    int status,
    Optional<String> requestId,
    boolean notRun,
    boolean misdirected,
    boolean sealed,
    OptionalInt confidence,
    HttpFields returned) {
  /** Returns whether the upstream answered with success. */
  boolean success() {
    return status >= 200 && status < 300;
  }
}
