package org.clementinequay.server.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.Map;
import java.util.stream.Collectors;

/** Client of the operators' interface of one entry host. */
final class OperatorClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final JsonMapper JSON = new JsonMapper();
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int UNPROCESSABLE = 422;
  private static final int FIRST_SERVER_ERROR = 500;

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
  private final String base;
  private final String authorization;

  OperatorClient(String base, String operator, String password) {
    this.base = base;
    byte[] pair = (operator + ":" + password).getBytes(StandardCharsets.UTF_8);
    this.authorization = "Basic " + Base64.getEncoder().encodeToString(pair);
  }

  /**
   * An answer that the command has to look at.
   *
   * @param status 200, 409 or 422
   * @param body the JSON body
   */
  record Answer(int status, JsonNode body) {
    boolean ok() {
      return status == OK;
    }

    boolean lostRace() {
      return status == CONFLICT;
    }
  }

  /** Reads a resource. */
  JsonNode read(String path, Map<String, String> query) throws CommandException {
    String parameters =
        query.entrySet().stream()
            .map(e -> e.getKey() + "=" + URLEncoder.encode(e.getValue(), StandardCharsets.UTF_8))
            .collect(Collectors.joining("&"));
    return send(request(path + (parameters.isEmpty() ? "" : "?" + parameters)).GET()).body();
  }

  /** Submits a body. */
  Answer submit(String path, JsonNode body) throws CommandException {
    return send(
        request(path)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body.toString())));
  }

  private HttpRequest.Builder request(String path) throws CommandException {
    try {
      return HttpRequest.newBuilder(URI.create(base + path))
          .timeout(TIMEOUT)
          .header("Authorization", authorization);
    } catch (IllegalArgumentException e) {
      throw new CommandException(ExitCode.USAGE, base + " is not an address: " + e.getMessage());
    }
  }

  private Answer send(HttpRequest.Builder request) throws CommandException {
    HttpResponse<String> response;
    try {
      response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.UNREACHABLE, base + " cannot be reached: " + e.getClass().getSimpleName());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(ExitCode.UNREACHABLE, "interrupted");
    }
    int status = response.statusCode();
    JsonNode body = parse(response.body());
    if (status == OK || status == CONFLICT || status == UNPROCESSABLE) {
      return new Answer(status, body);
    }
    throw new CommandException(
        status >= FIRST_SERVER_ERROR ? ExitCode.UNREACHABLE : ExitCode.REFUSED,
        body.path("error").path("message").asText("HTTP status " + status));
  }

  private JsonNode parse(String text) throws CommandException {
    try {
      return JSON.readTree(text);
    } catch (JsonProcessingException e) {
      throw new CommandException(
          ExitCode.UNREACHABLE, base + " did not answer with JSON; is it an operators' address?");
    }
  }
}
