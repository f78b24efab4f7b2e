package org.clementinequay.server.platform;

import java.time.Duration;
import java.util.Optional;
import org.clementinequay.core.platform.ObjectStore;
import org.clementinequay.core.platform.PlatformException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;

/** Client of the platform's object store over HTTP. */
public final class HttpObjectStore implements ObjectStore {
  private static final int NOT_FOUND = 404;
  private static final int PRECONDITION_FAILED = 412;

  private final PlatformHttpClient http;

  /**
   * Creates a client.
   *
   * @param address address of the service as {@code host:port}
   * @param timeout time limit of each call
   */
  public HttpObjectStore(HttpClient client, String address, Duration timeout) {
    this.http = new PlatformHttpClient(client, address, timeout);
  }

  @Override
  public boolean putIfAbsent(String name, byte[] content) throws PlatformException {
    ContentResponse response =
        http.send(
            http.request(HttpMethod.PUT, "/objects/" + name)
                .headers(headers -> headers.put("If-None-Match", "*"))
                .body(new BytesRequestContent("application/octet-stream", content)));
    return response.getStatus() != PRECONDITION_FAILED;
  }

  @Override
  public Optional<byte[]> read(String name) throws PlatformException {
    ContentResponse response = http.send(http.request(HttpMethod.GET, "/objects/" + name));
    return response.getStatus() == NOT_FOUND
        ? Optional.empty()
        : Optional.of(response.getContent());
  }
}
