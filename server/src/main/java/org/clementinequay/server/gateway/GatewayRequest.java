package org.clementinequay.server.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.eclipse.jetty.http.HttpFields;

/**
 * Head of a caller's request.
 *
 * @param id id that the caller gave to this attempt; empty if it gave none
 * @param method HTTP method
 * @param host value of the {@code Host} header
 * @param path path without the query
 * @param pathQuery path and query as sent
 * @param apiKey key of the client account
 * @param deadlineMillis time that the caller waits, in milliseconds from now
 * @param lastEventId last event of the stream that the caller has
 * @param session sessions stay on one version
 * @param promptTokens number of prompt tokens
 * @param maxOutputTokens greatest number of tokens to generate
 * @param expectedOutputTokens the caller's estimate of the generated tokens
 * @param promptParts parts of the prompt, in order
 * @param forwardedHeaders headers that go to the upstream unchanged
 */
public record GatewayRequest(
    Optional<String> id,
    String method,
    String host,
    String path,
    String pathQuery,
    Optional<String> apiKey,
    OptionalLong deadlineMillis,
    OptionalLong lastEventId,
    Optional<String> session,
    int promptTokens,
    int maxOutputTokens,
    OptionalInt expectedOutputTokens,
    List<PromptPart> promptParts,
    HttpFields forwardedHeaders) {
  /** Returns the last part that other requests may share, if there is one. */
  Optional<PromptPart> lastSharedPart() {
    int shared = promptParts.size() - 2;
    return shared < 0 ? Optional.empty() : Optional.of(promptParts.get(shared));
  }

  /** Returns the tokens of all parts but the last, which belongs to this request alone. */
  int sharedTokens() {
    int sum = 0;
    for (int i = 0; i + 1 < promptParts.size(); i++) {
      sum += promptParts.get(i).tokens();
    }
    return sum;
  }

  /** Returns the tokens that are expected to be generated. */
  int outputTokens() {
    int expected = expectedOutputTokens.orElse(maxOutputTokens);
    return maxOutputTokens > 0 ? Math.min(expected, maxOutputTokens) : expected;
  }
}
