package org.clementinequay.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.clementinequay.core.platform.CommitResult;
import org.clementinequay.core.platform.ObjectStore;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowKey;
import org.clementinequay.core.platform.RowWrite;
import org.clementinequay.core.platform.TableService;
import org.clementinequay.core.platform.memory.CallHook;
import org.clementinequay.core.platform.memory.InMemoryObjectStore;
import org.clementinequay.core.platform.memory.InMemoryTableService;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * In-memory stand-in for the platform's table service, object store and host list, all on one port.
 *
 * <p>{@code POST /fault} with a JSON field {@code mode} sets how the following calls fail: {@code
 * none}, {@code down} (status 503), {@code hang} (the request is neither executed nor answered) or
 * {@code lose} (the request is executed but not answered). The optional field {@code count} limits
 * the fault to that many calls.
 */
public final class PlatformStandIn extends StandInServer {
  private final TableService table = new InMemoryTableService(CallHook.NONE);
  private final ObjectStore objects = new InMemoryObjectStore(CallHook.NONE);
  private final Map<String, JsonNode> hostsByName = new ConcurrentHashMap<>();
  private final AtomicInteger remainingFaultyCalls = new AtomicInteger();
  private volatile String faultMode = "none";

  /** Creates a stand-in on a loopback port; 0 selects a free port. */
  public PlatformStandIn(int port) {
    super(port);
  }

  static PlatformStandIn parse(String[] args) {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> port = parser.accepts("port").withRequiredArg().ofType(Integer.class);
    OptionSet options = parser.parse(args);
    return new PlatformStandIn(options.valueOf(port));
  }

  /** Applies a fault mode, as listed in the class comment, to the next {@code count} calls. */
  public void setFaultMode(String mode, int count) {
    remainingFaultyCalls.set(count);
    faultMode = mode;
  }

  /** Returns the fault mode for one call and counts the call against the limit of the fault. */
  private String takeFaultMode() {
    String currentMode = faultMode;
    if (!currentMode.equals("none") && remainingFaultyCalls.getAndDecrement() <= 0) {
      faultMode = "none";
      return "none";
    }
    return currentMode;
  }

  @Override
  protected boolean handle(Request request, Response response, Callback callback) throws Exception {
    String path = Request.getPathInContext(request);
    if (path.equals("/fault")) {
      JsonNode body = readJson(request);
      setFaultMode(body.path("mode").asText("none"), body.path("count").asInt(Integer.MAX_VALUE));
      return reply(response, callback, 204);
    }
    String fault = takeFaultMode();
    if (fault.equals("down")) {
      return reply(response, callback, 503);
    }
    if (fault.equals("hang")) {
      return true;
    }
    Callback targetCallback = callback;
    Response targetResponse = response;
    if (fault.equals("lose")) {
      handleRequest(path, request, new DiscardingResponse(request), Callback.NOOP);
      return true;
    }
    return handleRequest(path, request, targetResponse, targetCallback);
  }

  private boolean handleRequest(String path, Request request, Response response, Callback callback)
      throws Exception {
    if (path.startsWith("/objects/")) {
      return handleObject(path.substring("/objects/".length()), request, response, callback);
    }
    return switch (path) {
      case "/table/read" -> handleRead(readJson(request), response, callback);
      case "/table/scan" -> handleScan(readJson(request), response, callback);
      case "/table/commit" -> handleCommit(readJson(request), response, callback);
      case "/hosts" -> handleHosts(request, response, callback);
      default -> reply(response, callback, 404);
    };
  }

  private boolean handleRead(JsonNode body, Response response, Callback callback) throws Exception {
    Optional<Row> row =
        table.read(new RowKey(body.path("table").asText(), body.path("key").asText()));
    ObjectNode answer = JSON.createObjectNode();
    row.ifPresent(r -> answer.set("row", toJson(r)));
    return reply(response, callback, 200, answer);
  }

  private boolean handleScan(JsonNode body, Response response, Callback callback) throws Exception {
    List<Row> rows =
        table.scan(
            body.path("table").asText(),
            body.path("prefix").asText(),
            body.path("after").asText(),
            body.path("limit").asInt());
    ArrayNode answer = JSON.createArrayNode();
    rows.forEach(row -> answer.add(toJson(row)));
    return reply(response, callback, 200, JSON.createObjectNode().set("rows", answer));
  }

  private boolean handleCommit(JsonNode body, Response response, Callback callback)
      throws Exception {
    List<RowWrite> writes = new ArrayList<>();
    for (JsonNode write : body.path("writes")) {
      writes.add(
          new RowWrite(
              new RowKey(write.path("table").asText(), write.path("key").asText()),
              write.path("expected").asLong(),
              write.hasNonNull("value")
                  ? Optional.of(write.path("value").asText())
                  : Optional.empty()));
    }
    CommitResult result = table.commit(writes);
    ObjectNode answer = JSON.createObjectNode().put("committed", result.committed());
    ArrayNode conflicts = answer.putArray("conflicts");
    for (RowKey key : result.conflicts()) {
      conflicts.add(JSON.createObjectNode().put("table", key.table()).put("key", key.key()));
    }
    return reply(response, callback, 200, answer);
  }

  private boolean handleObject(String name, Request request, Response response, Callback callback)
      throws Exception {
    if (request.getMethod().equals("PUT")) {
      ByteBuffer content = Content.Source.asByteBuffer(request);
      byte[] bytes = new byte[content.remaining()];
      content.get(bytes);
      return reply(response, callback, objects.putIfAbsent(name, bytes) ? 201 : 412);
    }
    Optional<byte[]> content = objects.read(name);
    if (content.isEmpty()) {
      return reply(response, callback, 404);
    }
    response.write(true, ByteBuffer.wrap(content.get()), callback);
    return true;
  }

  private boolean handleHosts(Request request, Response response, Callback callback)
      throws Exception {
    if (request.getMethod().equals("POST")) {
      JsonNode host = readJson(request);
      hostsByName.put(host.path("name").asText(), host);
      return reply(response, callback, 204);
    }
    ArrayNode list = JSON.createArrayNode();
    hostsByName.values().forEach(list::add);
    return reply(response, callback, 200, JSON.createObjectNode().set("hosts", list));
  }

  private static ObjectNode toJson(Row row) {
    return JSON.createObjectNode()
        .put("table", row.key().table())
        .put("key", row.key().key())
        .put("version", row.version())
        .put("value", row.value());
  }
}
