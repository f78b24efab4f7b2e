package org.clementinequay.server.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.clementinequay.core.platform.CommitResult;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowKey;
import org.clementinequay.core.platform.RowWrite;
import org.clementinequay.core.platform.TableService;
import org.eclipse.jetty.client.HttpClient;

/** Client of the platform's table service, with JSON over HTTP. */
public final class HttpTableService implements TableService {
  private final PlatformHttpClient http;

  /**
   * Creates a client.
   *
   * @param address address of the service as {@code host:port}
   * @param timeout time limit of each call
   */
  public HttpTableService(HttpClient client, String address, Duration timeout) {
    this.http = new PlatformHttpClient(client, address, timeout);
  }

  @Override
  public Optional<Row> read(RowKey key) throws PlatformException {
    JsonNode response = http.post("/table/read", keyFields(key));
    return response.hasNonNull("row")
        ? Optional.of(decodeRow(response.get("row")))
        : Optional.empty();
  }

  @Override
  public List<Row> scan(String table, String keyPrefix, String afterKey, int limit)
      throws PlatformException {
    ObjectNode body =
        http.mapper()
            .createObjectNode()
            .put("table", table)
            .put("prefix", keyPrefix)
            .put("after", afterKey)
            .put("limit", limit);
    List<Row> rows = new ArrayList<>();
    http.post("/table/scan", body).path("rows").forEach(node -> rows.add(decodeRow(node)));
    return rows;
  }

  @Override
  public CommitResult commit(List<RowWrite> writes) throws PlatformException {
    ObjectNode body = http.mapper().createObjectNode();
    ArrayNode writeNodes = body.putArray("writes");
    for (RowWrite write : writes) {
      ObjectNode writeNode = keyFields(write.key()).put("expected", write.expectedVersion());
      write.newValue().ifPresent(value -> writeNode.put("value", value));
      writeNodes.add(writeNode);
    }
    JsonNode response = http.post("/table/commit", body);
    List<RowKey> conflicts = new ArrayList<>();
    response
        .path("conflicts")
        .forEach(c -> conflicts.add(new RowKey(c.path("table").asText(), c.path("key").asText())));
    return new CommitResult(response.path("committed").asBoolean(), conflicts);
  }

  private ObjectNode keyFields(RowKey key) {
    return http.mapper().createObjectNode().put("table", key.table()).put("key", key.key());
  }

  private static Row decodeRow(JsonNode node) {
    return new Row(
        new RowKey(node.path("table").asText(), node.path("key").asText()),
        node.path("version").asLong(),
        node.path("value").asText());
  }
}
