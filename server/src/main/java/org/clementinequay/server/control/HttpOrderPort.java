package org.clementinequay.server.control;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.clementinequay.core.config.Upstream;
import org.clementinequay.core.lease.FencedOrders;
import org.clementinequay.core.lease.Order;
import org.clementinequay.core.lease.OrderFailedException;
import org.clementinequay.core.lease.OrderPort;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;

/** Sends orders to engines over HTTP and reads back the versions that they serve. */
public final class HttpOrderPort implements OrderPort {
  private static final int STATUS_OK = 200;
  private static final int STATUS_CONFLICT = 409;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpClient client;

  /** Creates a port over a started client. */
  public HttpOrderPort(HttpClient client) {
    this.client = client;
  }

  @Override
  public Set<String> versions(Upstream upstream) throws OrderFailedException {
    ContentResponse response = execute(request(upstream).method(HttpMethod.GET), upstream);
    if (response.getStatus() != STATUS_OK) {
      throw new OrderFailedException(
          upstream.name() + " responded with HTTP status " + response.getStatus(), null);
    }
    try {
      Set<String> versions = new TreeSet<>();
      for (JsonNode version : JSON.readTree(response.getContent()).path("versions")) {
        versions.add(version.asText());
      }
      return versions;
    } catch (IOException e) {
      throw new OrderFailedException("response of " + upstream.name() + " is not JSON", e);
    }
  }

  @Override
  public boolean send(Upstream upstream, Order order) throws OrderFailedException {
    ObjectNode body =
        JSON.createObjectNode()
            .put("order_id", order.orderId())
            .put("fencing", order.fencingNumber());
    order.versions().stream().sorted().forEach(body.putArray("versions")::add);
    Request request =
        request(upstream)
            .method(HttpMethod.POST)
            .body(new BytesRequestContent("application/json", body.toString().getBytes(UTF_8)));
    ContentResponse response = execute(request, upstream);
    if (response.getStatus() == STATUS_CONFLICT) {
      return false;
    }
    if (response.getStatus() != STATUS_OK) {
      throw new OrderFailedException(
          upstream.name() + " responded with HTTP status " + response.getStatus(), null);
    }
    return true;
  }

  private Request request(Upstream upstream) {
    return client
        .newRequest("http://" + upstream.address() + "/orders")
        .timeout(FencedOrders.ORDER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static ContentResponse execute(Request request, Upstream upstream)
      throws OrderFailedException {
    try {
      return request.send();
    } catch (TimeoutException | ExecutionException e) {
      throw new OrderFailedException("no response from " + upstream.name(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new OrderFailedException("interrupted while waiting for " + upstream.name(), e);
    }
  }
}
