package org.clementinequay.server.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Sends blocking requests to one service of the platform. Throws {@link
 * PlatformUnavailableException} if a call failed before its request was sent, or with status 503,
 * and {@link AnswerLostException} for every other missing response.
 */
final class PlatformHttpClient {
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int FIRST_ERROR_STATUS = 500;

  private final HttpClient client;
  private final String baseUrl;
  private final Duration timeout;
  private final ObjectMapper mapper = new ObjectMapper();

  PlatformHttpClient(HttpClient client, String address, Duration timeout) {
    this.client = client;
    this.baseUrl = "http://" + address;
    this.timeout = timeout;
  }

  ObjectMapper mapper() {
    return mapper;
  }

  JsonNode post(String path, Object body) throws PlatformException {
    try {
      Request request =
          client
              .newRequest(baseUrl + path)
              .method(HttpMethod.POST)
              .body(new BytesRequestContent("application/json", mapper.writeValueAsBytes(body)));
      return mapper.readTree(send(request).getContent());
    } catch (IOException e) {
      throw new AnswerLostException("response of " + baseUrl + path + " cannot be parsed", e);
    }
  }

  JsonNode get(String path) throws PlatformException {
    try {
      return mapper.readTree(send(request(HttpMethod.GET, path)).getContent());
    } catch (IOException e) {
      throw new AnswerLostException("response of " + baseUrl + path + " cannot be parsed", e);
    }
  }

  Request request(HttpMethod method, String path) {
    return client.newRequest(baseUrl + path).method(method);
  }

  ContentResponse send(Request request) throws PlatformException {
    AtomicBoolean requestStarted = new AtomicBoolean();
    request.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    request.onRequestBegin(r -> requestStarted.set(true));
    try {
      ContentResponse response = request.send();
      if (response.getStatus() == SERVICE_UNAVAILABLE) {
        throw new PlatformUnavailableException(baseUrl + " answered 503");
      }
      if (response.getStatus() >= FIRST_ERROR_STATUS) {
        throw new AnswerLostException(baseUrl + " answered " + response.getStatus());
      }
      return response;
    } catch (TimeoutException | ExecutionException e) {
      throw requestStarted.get()
          ? new AnswerLostException("no response from " + baseUrl, e)
          : new PlatformUnavailableException(baseUrl + " cannot be reached", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AnswerLostException("interrupted while waiting for " + baseUrl, e);
    }
  }
}
