import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's metadata store: rows in tables, conditional transactions and the feed. */
final class Store {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Map<String, TreeMap<String, Stored>> tables = new HashMap<>();
  private final HttpServer server;
  private long revision;

  /** A row; the value is null after its removal. */
  private record Stored(byte[] value, long revision) {}

  Store(String ip) throws IOException {
    server = HttpServer.create(new InetSocketAddress(ip, 0), 64);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  synchronized void put(String table, String key, String value) {
    revision++;
    table(table).put(key, new Stored(value.getBytes(StandardCharsets.UTF_8), revision));
    notifyAll();
  }

  synchronized void remove(String table, String key) {
    revision++;
    table(table).put(key, new Stored(null, revision));
    notifyAll();
  }

  synchronized String get(String table, String key) {
    Stored stored = table(table).get(key);
    return stored == null || stored.value() == null
        ? null
        : new String(stored.value(), StandardCharsets.UTF_8);
  }

  private TreeMap<String, Stored> table(String name) {
    return tables.computeIfAbsent(name, n -> new TreeMap<>());
  }

  private void handle(HttpExchange exchange) throws IOException {
    try {
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      switch (exchange.getRequestURI().getPath()) {
        case "/v1/rows-get" ->
            reply(exchange, 200, page(query, query.getOrDefault("from", ""), 0, false));
        case "/v1/rows-feed" -> reply(exchange, 200, feed(query));
        case "/v1/rows-tx" -> commit(exchange, JSON.readTree(exchange.getRequestBody()));
        default -> reply(exchange, 404, JSON.createObjectNode());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> result = new HashMap<>();
    for (String pair : raw == null ? new String[0] : raw.split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        result.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return result;
  }

  private synchronized ObjectNode feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
    ObjectNode page = page(query, "", after, true);
    while (page.path("rows").isEmpty() && end - System.nanoTime() > 0) {
      wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
      page = page(query, "", after, true);
    }
    return page;
  }

  private synchronized ObjectNode page(
      Map<String, String> query, String from, long after, boolean removed) {
    ObjectNode page = JSON.createObjectNode();
    ArrayNode rows = page.putArray("rows");
    table(query.get("table"))
        .forEach(
            (key, stored) -> {
              boolean shown = removed || stored.value() != null;
              if (key.compareTo(from) >= 0 && stored.revision() > after && shown) {
                ObjectNode row = rows.addObject().put("table", query.get("table")).put("part", "");
                row.put("key", key).put("revision", stored.revision());
                if (stored.value() == null) {
                  row.put("tombstone", true);
                } else {
                  row.put("value", Base64.getEncoder().encodeToString(stored.value()));
                }
              }
            });
    return page.put("morePages", false).put("revision", revision).put("nowMs", nowMillis());
  }

  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  private void commit(HttpExchange exchange, JsonNode body) throws IOException {
    boolean holds = true;
    synchronized (this) {
      for (JsonNode expected : body.path("expected")) {
        Stored stored = table(expected.path("table").asText()).get(expected.path("key").asText());
        long current = stored == null || stored.value() == null ? 0 : stored.revision();
        holds &= current == expected.path("revision").asLong();
      }
      if (holds) {
        for (JsonNode write : body.path("writes")) {
          byte[] value = Base64.getDecoder().decode(write.path("value").asText());
          put(
              write.path("table").asText(),
              write.path("key").asText(),
              new String(value, StandardCharsets.UTF_8));
        }
        for (JsonNode key : body.path("remove")) {
          remove(key.path("table").asText(), key.path("key").asText());
        }
      }
    }
    ObjectNode answer = JSON.createObjectNode();
    answer.putArray("rows");
    answer.put("revision", revision).put("nowMs", nowMillis());
    reply(exchange, holds ? 200 : 412, answer);
  }

  private static void reply(HttpExchange exchange, int status, ObjectNode body)
      throws IOException {
    byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().add("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }
}
