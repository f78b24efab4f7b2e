import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for the platform's store: rows, transactions and the feed of changes. Each host has a
 * port of its own, so that the store can turn one host away and serve the others.
 */
final class Store {
  private static final long ANSWER_MILLIS = 4;
  private static final Pattern ENTRY =
      Pattern.compile(
          "\\{\"table\":\"([^\"]*)\",\"part\":\"[^\"]*\",\"key\":\"([^\"]*)\""
              + "(?:,\"value\":\"([^\"]*)\")?(?:,\"revision\":(\\d+))?\\}");

  private record Row(String table, String key, String value, long revision, boolean gone) {}

  private final Map<String, Row> rows = new TreeMap<>();
  private final Map<Integer, String> modes = new ConcurrentHashMap<>();
  private final long startNanos = System.nanoTime();
  private long revision;

  /** Opens a port for one host. */
  int open() throws IOException {
    int[] port = new int[1];
    port[0] = Net.listen("store", socket -> serve(socket, port)).getLocalPort();
    return port[0];
  }

  /** Sets how a port answers: "serve", or "busy" (503 to each call). */
  void setMode(int port, String mode) {
    modes.put(port, mode);
  }

  synchronized long put(String table, String key, String json) {
    return store(table, key, Base64.getEncoder().encodeToString(Net.bytes(json)), false);
  }

  synchronized void remove(String table, String key) {
    store(table, key, "", true);
  }

  private long store(String table, String key, String value, boolean gone) {
    revision++;
    rows.put(table + "\n" + key, new Row(table, key, value, revision, gone));
    notifyAll();
    return revision;
  }

  private void serve(Socket socket, int[] port) throws Exception {
    OutputStream out = socket.getOutputStream();
    Net.Message call;
    while ((call = Net.read(socket.getInputStream())) != null) {
      Thread.sleep(ANSWER_MILLIS);
      if (modes.getOrDefault(port[0], "serve").equals("busy")) {
        reply(out, 503, "{}");
        continue;
      }
      Map<String, String> query = query(call.path());
      if (call.path().startsWith("/v1/rows-get")) {
        reply(out, 200, page(query.get("table"), query.getOrDefault("from", ""), -1));
      } else if (call.path().startsWith("/v1/rows-feed")) {
        String page = feed(query);
        // A call that was waiting is turned away as well.
        boolean busy = modes.getOrDefault(port[0], "serve").equals("busy");
        reply(out, busy ? 503 : 200, busy ? "{}" : page);
      } else if (call.path().startsWith("/v1/rows-tx")) {
        reply(out, commit(new String(call.body(), StandardCharsets.UTF_8)) ? 200 : 412, "{}");
      } else {
        reply(out, 404, "{}");
      }
    }
  }

  private static Map<String, String> query(String path) {
    Map<String, String> result = new HashMap<>();
    int start = path.indexOf('?');
    for (String part : start < 0 ? new String[0] : path.substring(start + 1).split("&")) {
      String[] pair = part.split("=", 2);
      result.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
    }
    return result;
  }

  private synchronized String feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
    while (!hasChange(query.get("table"), after)) {
      long left = (end - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        break;
      }
      wait(left);
    }
    return page(query.get("table"), "", after);
  }

  private boolean hasChange(String table, long after) {
    return rows.values().stream().anyMatch(r -> r.table.equals(table) && r.revision > after);
  }

  private synchronized String page(String table, String from, long after) {
    List<String> entries = new ArrayList<>();
    for (Row row : rows.values()) {
      if (!row.table.equals(table) || row.key.compareTo(from) < 0 || row.revision <= after) {
        continue;
      }
      if (!row.gone || after >= 0) {
        entries.add(
            String.format(
                "{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d%s}",
                row.table,
                row.key,
                row.value,
                row.revision,
                row.gone ? ",\"tombstone\":true" : ""));
      }
    }
    return String.format(
        "{\"rows\":[%s],\"morePages\":false,\"revision\":%d,\"nowMs\":%d}",
        String.join(",", entries),
        revision,
        1000 + (System.nanoTime() - startNanos) / 1_000_000);
  }

  private synchronized boolean commit(String body) {
    int writes = body.indexOf("\"writes\"");
    int removals = body.indexOf("\"remove\"");
    Matcher expected = ENTRY.matcher(body.substring(0, writes));
    while (expected.find()) {
      Row row = rows.get(expected.group(1) + "\n" + expected.group(2));
      long known = row == null || row.gone ? 0 : row.revision;
      if (known != Long.parseLong(expected.group(4))) {
        return false;
      }
    }
    Matcher write = ENTRY.matcher(body.substring(writes, removals));
    while (write.find()) {
      store(write.group(1), write.group(2), write.group(3), false);
    }
    Matcher removal = ENTRY.matcher(body.substring(removals));
    while (removal.find()) {
      store(removal.group(1), removal.group(2), "", true);
    }
    return true;
  }

  private static void reply(OutputStream out, int status, String json) throws IOException {
    byte[] body = Net.bytes(json);
    String head =
        String.format(
            "HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
            status, body.length);
    out.write(Net.bytes(head));
    out.write(body);
    out.flush();
  }
}
