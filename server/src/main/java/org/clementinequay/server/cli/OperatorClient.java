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

/** HTTP client of the operator interface of one entry host. */
final class OperatorClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
  private static final JsonMapper JSON = new JsonMapper();
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int UNPROCESSABLE = 422;
  private static final int FIRST_SERVER_ERROR = 500;

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
  private final String baseUrl;
  private final String authorization;

  OperatorClient(String baseUrl, String operator, String password) {
    this.baseUrl = baseUrl;
    byte[] credentials = (operator + ":" + password).getBytes(StandardCharsets.UTF_8);
    this.authorization = "Basic " + Base64.getEncoder().encodeToString(credentials);
  }

  /**
   * A response whose status and body the command evaluates.
   *
   * @param status 200, 409 or 422
   * @param body the JSON body
   */
  record Response(int status, JsonNode body) {
    boolean ok() {
      return status == OK;
    }

    boolean conflict() {
      return status == CONFLICT;
    }
  }

  /**
   * Sends a GET request and returns the JSON body of the response.
   *
   * @throws CommandException if the address is invalid, or if there is no JSON response with status
   *     200, 409 or 422
   */
  JsonNode get(String path, Map<String, String> query) throws CommandException {
    String parameters =
        query.entrySet().stream()
            .map(e -> e.getKey() + "=" + URLEncoder.encode(e.getValue(), StandardCharsets.UTF_8))
            .collect(Collectors.joining("&"));
    return send(request(path + (parameters.isEmpty() ? "" : "?" + parameters)).GET()).body();
  }

  /**
   * Sends a JSON body in a POST request.
   *
   * @throws CommandException if the address is invalid, or if there is no JSON response with status
   *     200, 409 or 422
   */
  Response post(String path, JsonNode body) throws CommandException {
    return send(
        request(path)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body.toString())));
  }

  private HttpRequest.Builder request(String path) throws CommandException {
    try {
      return HttpRequest.newBuilder(URI.create(baseUrl + path))
          .timeout(REQUEST_TIMEOUT)
          .header("Authorization", authorization);
    } catch (IllegalArgumentException e) {
      throw new CommandException(
          ExitCode.USAGE, baseUrl + " is not a valid address: " + e.getMessage());
    }
  }

  private Response send(HttpRequest.Builder request) throws CommandException {
    HttpResponse<String> response;
    try {
      response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.UNREACHABLE, baseUrl + " cannot be reached: " + e.getClass().getSimpleName());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(ExitCode.UNREACHABLE, "interrupted");
    }
    int status = response.statusCode();
    JsonNode body = parse(response.body());
    if (status == OK || status == CONFLICT || status == UNPROCESSABLE) {
      return new Response(status, body);
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
          ExitCode.UNREACHABLE, baseUrl + " did not return JSON; is it an operator address?");
    }
  }
}
