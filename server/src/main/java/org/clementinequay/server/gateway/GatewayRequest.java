package org.clementinequay.server.gateway;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.eclipse.jetty.http.HttpFields;

/**
 * Decoded head of a caller's request.
 *
 * @param id id that the caller assigned to this attempt; empty if it sent none
 * @param method HTTP method
 * @param host value of the {@code Host} header
 * @param path path without the query
 * @param pathQuery path and query as the caller sent them
 * @param apiKey API key that identifies the client account
 * @param deadlineMillis time that the caller waits for the response, in milliseconds from receipt
 * @param lastEventId id of the last event of the stream that the caller already has
 * @param session id of the session; the requests of a session are sent to one version
 * @param promptTokens number of prompt tokens
 * @param maxOutputTokens limit on the number of generated tokens; 0 if the caller set none
 * @param expectedOutputTokens the caller's estimate of the number of generated tokens
 * @param promptParts parts of the prompt, in order; the last one belongs to this request alone
 * @param forwardedHeaders headers that are sent to the upstream unchanged
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
  /** Longest id of a session that is kept as it is; a host keeps the ids of thousands. */
  private static final int MAX_SESSION_LENGTH = 128;

  /** Replaces a long id of a session by its hash, which is the same at every host. */
  public GatewayRequest {
    session = session.map(GatewayRequest::boundedSession);
  }

  private static String boundedSession(String id) {
    return id.length() <= MAX_SESSION_LENGTH
        ? id
        : Hashing.sha256().hashString(id, StandardCharsets.UTF_8).toString();
  }

  /** Returns the ids of all parts but the last, in order. */
  List<String> sharedPartIds() {
    return promptParts.stream()
        .limit(Math.max(0, promptParts.size() - 1))
        .map(PromptPart::id)
        .toList();
  }

  /** Returns the number of tokens of all parts but the last. */
  int sharedTokens() {
    int sum = 0;
    for (int i = 0; i + 1 < promptParts.size(); i++) {
      sum += promptParts.get(i).tokens();
    }
    return sum;
  }

  /** Returns the expected number of generated tokens, at most the limit if one is set. */
  int outputTokens() {
    int expected = expectedOutputTokens.orElse(maxOutputTokens);
    return maxOutputTokens > 0 ? Math.min(expected, maxOutputTokens) : expected;
  }
}
