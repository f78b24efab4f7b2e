package org.clementinequay.server.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.RequestFailedException;
import org.clementinequay.server.pipeline.CallerRequest;
import org.eclipse.jetty.http.HttpFields;

/** Parses an HTTP request of a caller; the message of a refusal states which part is invalid. */
final class CallerRequestParser {
  static final String CHAT_PATH = "/v1/chat/completions";
  static final String ROUTE_PREFIX = "/v1/routes/";

  /** Maximum deadline that a caller may request, in milliseconds. */
  private static final long MAX_DEADLINE_MILLIS = 3_600_000;

  /** Maximum length of an idempotency key, in characters; the key becomes part of a row key. */
  private static final int MAX_KEY_CHARS = 200;

  private static final String BEARER = "Bearer ";

  private final ObjectMapper json = new ObjectMapper();

  CallerRequest parse(String path, HttpFields headers, byte[] body) throws RequestFailedException {
    String apiKeySha256 = apiKeyDigest(headers.get("Authorization"));
    Optional<String> idempotencyKey = idempotencyKey(headers.get("Idempotency-Key"));
    return path.equals(CHAT_PATH)
        ? parseChat(apiKeySha256, idempotencyKey, headers, body)
        : parseRoute(
            path.substring(ROUTE_PREFIX.length()), apiKeySha256, idempotencyKey, headers, body);
  }

  private CallerRequest parseChat(
      String apiKeySha256, Optional<String> idempotencyKey, HttpFields headers, byte[] body)
      throws RequestFailedException {
    requireJson(headers.get("Content-Type"));
    ObjectNode chat = parseObject(body);
    String model = textField(chat, "model", true);
    if (!chat.path("messages").isArray() || chat.path("messages").isEmpty()) {
      throw malformed("field 'messages' must be a non-empty array");
    }
    if (chat.has("max_tokens")
        && !(chat.path("max_tokens").canConvertToInt() && chat.path("max_tokens").asInt() > 0)) {
      throw malformed("field 'max_tokens' must be a positive whole number");
    }
    if (chat.has("stream") && !chat.path("stream").isBoolean()) {
      throw malformed("field 'stream' must be true or false");
    }
    String session = textField(chat, "session", false);
    return new CallerRequest(
        CallerRequest.Kind.CHAT,
        apiKeySha256,
        model,
        textField(chat, "request_class", false),
        idempotencyKey,
        session.isEmpty() ? Optional.empty() : Optional.of(session),
        parseDeadline(chat.get("deadline_ms")),
        chat.path("stream").asBoolean(false),
        chat,
        body);
  }

  private CallerRequest parseRoute(
      String route,
      String apiKeySha256,
      Optional<String> idempotencyKey,
      HttpFields headers,
      byte[] body)
      throws RequestFailedException {
    String requestClass = headers.get("X-Request-Class");
    String deadline = headers.get("X-Deadline-Ms");
    return new CallerRequest(
        CallerRequest.Kind.ROUTE,
        apiKeySha256,
        route,
        requestClass == null ? "" : requestClass,
        idempotencyKey,
        Optional.empty(),
        deadline == null ? OptionalLong.empty() : parseDeadline(parseNumber(deadline)),
        false,
        null,
        body);
  }

  private JsonNode parseNumber(String text) throws RequestFailedException {
    try {
      return json.getNodeFactory().numberNode(Long.parseLong(text));
    } catch (NumberFormatException e) {
      throw malformed("header X-Deadline-Ms is not a number");
    }
  }

  private ObjectNode parseObject(byte[] body) throws RequestFailedException {
    try {
      JsonNode node = json.readTree(body);
      if (node instanceof ObjectNode object) {
        return object;
      }
      throw malformed("the body must be a JSON object");
    } catch (JsonProcessingException e) {
      throw malformed(
          "the body is not JSON: line "
              + e.getLocation().getLineNr()
              + ", column "
              + e.getLocation().getColumnNr());
    } catch (IOException e) {
      throw malformed("the body could not be read");
    }
  }

  private static String apiKeyDigest(String authorization) throws RequestFailedException {
    if (authorization == null || !authorization.startsWith(BEARER)) {
      throw RequestFailedException.notRun(
          RefusalReason.UNAUTHENTICATED, "header Authorization must be 'Bearer <api key>'");
    }
    return Hashing.sha256()
        .hashString(authorization.substring(BEARER.length()).trim(), StandardCharsets.UTF_8)
        .toString();
  }

  private static Optional<String> idempotencyKey(String value) throws RequestFailedException {
    if (value == null) {
      return Optional.empty();
    }
    boolean printable = value.chars().allMatch(c -> c > ' ' && c < 127);
    if (value.isEmpty() || value.length() > MAX_KEY_CHARS || !printable) {
      throw malformed("Idempotency-Key must have 1 to " + MAX_KEY_CHARS + " visible characters");
    }
    return Optional.of(value);
  }

  private static void requireJson(String contentType) throws RequestFailedException {
    if (contentType == null || !contentType.startsWith("application/json")) {
      throw RequestFailedException.notRun(
          RefusalReason.UNSUPPORTED_MEDIA_TYPE, "Content-Type must be application/json");
    }
  }

  private static String textField(ObjectNode chat, String field, boolean required)
      throws RequestFailedException {
    JsonNode node = chat.get(field);
    if (node == null || node.isNull()) {
      if (required) {
        throw malformed("field '" + field + "' is missing");
      }
      return "";
    }
    if (!node.isTextual() || (required && node.asText().isEmpty())) {
      throw malformed("field '" + field + "' must be a string");
    }
    return node.asText();
  }

  private static OptionalLong parseDeadline(JsonNode node) throws RequestFailedException {
    if (node == null || node.isNull()) {
      return OptionalLong.empty();
    }
    long value = node.isIntegralNumber() ? node.asLong() : -1;
    if (value < 1 || value > MAX_DEADLINE_MILLIS) {
      throw malformed("deadline must be from 1 to " + MAX_DEADLINE_MILLIS + " milliseconds");
    }
    return OptionalLong.of(value);
  }

  private static RequestFailedException malformed(String message) {
    return RequestFailedException.notRun(RefusalReason.MALFORMED_REQUEST, message);
  }
}
