package org.clementinequay.server.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.clementinequay.core.platform.HostDirectory;
import org.clementinequay.core.platform.HostEntry;
import org.clementinequay.core.platform.PlatformException;
import org.eclipse.jetty.client.HttpClient;

/** The platform's host list over JSON and HTTP. */
public final class HttpHostDirectory implements HostDirectory {
  private final PlatformHttp http;

  /**
   * Creates a client.
   *
   * @param address {@code host:port}
   * @param timeout longest time for one call
   */
  public HttpHostDirectory(HttpClient client, String address, Duration timeout) {
    this.http = new PlatformHttp(client, address, timeout);
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
