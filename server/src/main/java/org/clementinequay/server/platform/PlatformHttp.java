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
 * Blocking calls to one service of the platform. A call that ended before its request was sent, or
 * with status 503, is reported as unavailable; any other missing answer as lost.
 */
final class PlatformHttp {
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int FIRST_ERROR_STATUS = 500;

  private final HttpClient client;
  private final String base;
  private final Duration timeout;
  private final ObjectMapper json = new ObjectMapper();

  PlatformHttp(HttpClient client, String address, Duration timeout) {
    this.client = client;
    this.base = "http://" + address;
    this.timeout = timeout;
  }

  ObjectMapper json() {
    return json;
  }

  JsonNode post(String path, Object body) throws PlatformException {
    try {
      Request request =
          client
              .newRequest(base + path)
              .method(HttpMethod.POST)
              .body(new BytesRequestContent("application/json", json.writeValueAsBytes(body)));
      return json.readTree(send(request).getContent());
    } catch (IOException e) {
      throw new AnswerLostException("answer of " + base + path + " cannot be read", e);
    }
  }

  JsonNode get(String path) throws PlatformException {
    try {
      return json.readTree(send(request(HttpMethod.GET, path)).getContent());
    } catch (IOException e) {
      throw new AnswerLostException("answer of " + base + path + " cannot be read", e);
    }
  }

  Request request(HttpMethod method, String path) {
    return client.newRequest(base + path).method(method);
  }

  ContentResponse send(Request request) throws PlatformException {
    AtomicBoolean begun = new AtomicBoolean();
    request.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    request.onRequestBegin(r -> begun.set(true));
    try {
      ContentResponse response = request.send();
      if (response.getStatus() == SERVICE_UNAVAILABLE) {
        throw new PlatformUnavailableException(base + " answered 503");
      }
      if (response.getStatus() >= FIRST_ERROR_STATUS) {
        throw new AnswerLostException(base + " answered " + response.getStatus());
      }
      return response;
    } catch (TimeoutException | ExecutionException e) {
      throw begun.get()
          ? new AnswerLostException("no answer of " + base, e)
          : new PlatformUnavailableException(base + " cannot be reached", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AnswerLostException("interrupted while waiting for " + base, e);
    }
  }
}
