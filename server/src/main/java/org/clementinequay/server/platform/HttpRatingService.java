package org.clementinequay.server.platform;

import java.time.Duration;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.RatingService;
import org.eclipse.jetty.client.HttpClient;

/** Client of the platform's rating service, with JSON over HTTP. */
public final class HttpRatingService implements RatingService {
  private final PlatformHttpClient http;

  /**
   * Creates a client.
   *
   * @param address address of the service as {@code host:port}
   * @param timeout time limit of each call
   */
  public HttpRatingService(HttpClient client, String address, Duration timeout) {
    this.http = new PlatformHttpClient(client, address, timeout);
  }

  @Override
  public double rate(ModelVersion version, String requestClass, String prompt, String answer)
      throws PlatformException {
    return http.post(
            "/ratings",
            http.mapper()
                .createObjectNode()
                .put("model_version", version.toString())
                .put("request_class", requestClass)
                .put("prompt", prompt)
                .put("answer", answer))
        .path("score")
        .asDouble();
  }
}
