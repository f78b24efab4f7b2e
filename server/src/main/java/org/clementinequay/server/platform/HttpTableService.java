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

/** The platform's table service over JSON and HTTP. */
public final class HttpTableService implements TableService {
  private final PlatformHttp http;

  /**
   * Creates a client.
   *
   * @param address {@code host:port}
   * @param timeout longest time for one call
   */
  public HttpTableService(HttpClient client, String address, Duration timeout) {
    this.http = new PlatformHttp(client, address, timeout);
  }

  @Override
  public Optional<Row> read(RowKey key) throws PlatformException {
    JsonNode answer = http.post("/table/read", fields(key));
    return answer.hasNonNull("row") ? Optional.of(row(answer.get("row"))) : Optional.empty();
  }

  @Override
  public List<Row> scan(String table, String keyPrefix, String afterKey, int limit)
      throws PlatformException {
    ObjectNode body =
        http.json()
            .createObjectNode()
            .put("table", table)
            .put("prefix", keyPrefix)
            .put("after", afterKey)
            .put("limit", limit);
    List<Row> rows = new ArrayList<>();
    http.post("/table/scan", body).path("rows").forEach(node -> rows.add(row(node)));
    return rows;
  }

  @Override
  public CommitResult commit(List<RowWrite> writes) throws PlatformException {
    ObjectNode body = http.json().createObjectNode();
    ArrayNode list = body.putArray("writes");
    for (RowWrite write : writes) {
      ObjectNode item = fields(write.key()).put("expected", write.expectedVersion());
      write.newValue().ifPresent(value -> item.put("value", value));
      list.add(item);
    }
    JsonNode answer = http.post("/table/commit", body);
    List<RowKey> conflicts = new ArrayList<>();
    answer
        .path("conflicts")
        .forEach(c -> conflicts.add(new RowKey(c.path("table").asText(), c.path("key").asText())));
    return new CommitResult(answer.path("committed").asBoolean(), conflicts);
  }

  private ObjectNode fields(RowKey key) {
    return http.json().createObjectNode().put("table", key.table()).put("key", key.key());
  }

  private static Row row(JsonNode node) {
    return new Row(
        new RowKey(node.path("table").asText(), node.path("key").asText()),
        node.path("version").asLong(),
        node.path("value").asText());
  }
}
