package org.clementinequay.server.upstream;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.clementinequay.core.AttemptId;
import org.clementinequay.core.config.Upstream;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;

/** Sends attempts to upstreams over HTTP. */
public final class UpstreamClient implements UpstreamTransport {
  /** Header that carries the id of the attempt, in requests and in their responses. */
  public static final String ATTEMPT_ID_HEADER = "X-Attempt-Id";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Timeout of a cancellation. It may fail: an engine also stops when its connection is closed. */
  private static final long CANCEL_TIMEOUT_MILLIS = 1000;

  private final HttpClient client;
  private final Duration progressTimeout;

  /**
   * Creates a client.
   *
   * @param progressTimeout time without a byte after which a connection is considered dead and
   *     closed; a connection can stop delivering for good while new connections work
   */
  public UpstreamClient(HttpClient client, Duration progressTimeout) {
    this.client = client;
    this.progressTimeout = progressTimeout;
  }

  @Override
  public Call createChatCall(
      Upstream upstream,
      AttemptId attempt,
      int priority,
      byte[] body,
      long timeoutMillis,
      UpstreamListener listener) {
    Request request =
        request(upstream, HttpMethod.POST, "/v1/chat/completions", timeoutMillis)
            .headers(
                headers ->
                    headers
                        .put(ATTEMPT_ID_HEADER, attempt.toString())
                        .put("X-Priority", Integer.toString(priority)))
            .body(new BytesRequestContent("application/json", body));
    return new UpstreamCall(request, listener);
  }

  @Override
  public Call createResumeCall(
      Upstream upstream,
      AttemptId attempt,
      long fromSequence,
      long timeoutMillis,
      UpstreamListener listener) {
    String path = "/v1/attempts/" + attempt + "?from=" + fromSequence;
    return new UpstreamCall(request(upstream, HttpMethod.GET, path, timeoutMillis), listener);
  }

  @Override
  public Call createRouteCall(
      Upstream upstream,
      String route,
      AttemptId attempt,
      byte[] body,
      long timeoutMillis,
      UpstreamListener listener) {
    Request request =
        request(upstream, HttpMethod.POST, "/calls/" + route, timeoutMillis)
            .headers(headers -> headers.put(ATTEMPT_ID_HEADER, attempt.toString()))
            .body(new BytesRequestContent("application/json", body));
    return new UpstreamCall(request, listener);
  }

  @Override
  public void cancel(Upstream upstream, AttemptId attempt) {
    request(upstream, HttpMethod.DELETE, "/v1/attempts/" + attempt, CANCEL_TIMEOUT_MILLIS)
        .send(
            result -> {
              if (result.isFailed()) {
                logger.atFine().log("attempt %s could not be cancelled", attempt);
              }
            });
  }

  private Request request(Upstream upstream, HttpMethod method, String path, long timeoutMillis) {
    return client
        .newRequest("http://" + upstream.address() + path)
        .method(method)
        .idleTimeout(progressTimeout.toMillis(), TimeUnit.MILLISECONDS)
        .timeout(Math.max(1, timeoutMillis), TimeUnit.MILLISECONDS);
  }
}
