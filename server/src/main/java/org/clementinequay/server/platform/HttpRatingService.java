package org.clementinequay.server.platform;

import java.time.Duration;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.RatingService;
import org.eclipse.jetty.client.HttpClient;

/** The platform's rating service over JSON and HTTP. */
public final class HttpRatingService implements RatingService {
  private final PlatformHttp http;

  /**
   * Creates a client.
   *
   * @param address {@code host:port}
   * @param timeout longest time for one call
   */
  public HttpRatingService(HttpClient client, String address, Duration timeout) {
    this.http = new PlatformHttp(client, address, timeout);
  }

  @Override
  public double rate(ModelVersion version, String requestClass, String prompt, String answer)
      throws PlatformException {
    return http.post(
            "/ratings",
            http.json()
                .createObjectNode()
                .put("model_version", version.toString())
                .put("request_class", requestClass)
                .put("prompt", prompt)
                .put("answer", answer))
        .path("score")
        .asDouble();
  }
}
