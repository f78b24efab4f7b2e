package org.clementinequay.server.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.clementinequay.core.platform.HostDirectory;
import org.clementinequay.core.platform.HostEntry;
import org.clementinequay.core.platform.PlatformException;
import org.eclipse.jetty.client.HttpClient;

/** Client of the platform's host list, with JSON over HTTP. */
public final class HttpHostDirectory implements HostDirectory {
  private final PlatformHttpClient http;

  /**
   * Creates a client.
   *
   * @param address address of the service as {@code host:port}
   * @param timeout time limit of each call
   */
  public HttpHostDirectory(HttpClient client, String address, Duration timeout) {
    this.http = new PlatformHttpClient(client, address, timeout);
  }

  @Override
  public List<HostEntry> hosts() throws PlatformException {
    List<HostEntry> hosts = new ArrayList<>();
    for (JsonNode node : http.get("/hosts").path("hosts")) {
      hosts.add(
          new HostEntry(
              node.path("name").asText(),
              node.path("role").asText(),
              node.path("domain").asText(),
              node.path("address").asText(),
              node.path("leaving").asBoolean()));
    }
    return hosts;
  }
}
