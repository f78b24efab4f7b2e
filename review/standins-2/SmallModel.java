package org.clementinequay.review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Streams that may not be resumed, on a route with models of two sizes. The small model states a
 * low confidence in its answers.
 */
final class SmallModel {
  private static final int REQUESTS = 40;
  private static final int EVENTS = 6;
  private static final String CONFIDENCE = Kit3.trouble() ? "10" : "95";

  /** Runs by request, as server and model. */
  private static final Map<String, List<String>> RUNS = new ConcurrentHashMap<>();

  private SmallModel() {}

  public static void main(String[] args) {
    Kit3.runCase(args, SmallModel::run);
  }

  private static int run(Path caseFolder) throws Exception {
    Path folder = Files.createTempDirectory("review");
    try (Kit3.Record record = new Kit3.Record(caseFolder.resolve("record.txt"));
        Kit3.Store store = new Kit3.Store()) {
      store.put("op", "config", manifest());
      for (int i = 1; i <= 3; i++) {
        Kit3.Server server = new Kit3.Server("s-" + i, SmallModel::answer);
        store.put("servers", server.id, server.entry("gen", "a", "v1", "ready"));
      }
      try (Kit3.Host host = new Kit3.Host("host-1", "a", store, folder, record)) {
        host.start();
        if (!host.awaitReady(20_000)) {
          record.line("the host does not get ready");
          return Kit3.COULD_NOT_RUN;
        }
        int twice = 0;
        int whole = 0;
        for (int i = 0; i < REQUESTS; i++) {
          String id = "q-" + i;
          Kit3.Message answer = send(host, id);
          List<String> runs = RUNS.getOrDefault(id, List.of());
          record.line("%s: answered %d, %s, %d bytes; run by %s", id, answer.status(),
              answer.complete() ? "complete" : "cut", answer.body().length, runs);
          twice += runs.size() > 1 ? 1 : 0;
          whole += answer.status() == 200 && answer.complete() ? 1 : 0;
        }
        record.line("%d requests, %d answered whole, %d run more than once", REQUESTS, whole, twice);
        return whole == 0 ? Kit3.COULD_NOT_RUN : twice > 0 ? Kit3.BROKEN : Kit3.HELD;
      }
    } finally {
      Kit3.deleteFolder(folder);
    }
  }

  private static Kit3.Message send(Kit3.Host host, String id) throws IOException {
    try (Socket socket = host.connect()) {
      socket.setSoTimeout(10_000);
      Kit3.write(socket, "POST /draft/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
          + "\r\nModel: *\r\nToken-Count: 400,30\r\nPrompt-Prefix: 1a:100,2b:300\r\n"
          + "Deadline-Ms: 8000\r\nContent-Length: 5\r\n\r\nhello");
      return Kit3.read(new BufferedInputStream(socket.getInputStream()));
    }
  }

  private static boolean answer(Kit3.Server server, Kit3.Message request, Socket socket)
      throws IOException {
    String model = request.field("model");
    RUNS.computeIfAbsent(request.field("request-id"), id -> new CopyOnWriteArrayList<>())
        .add(server.id + " " + model);
    Kit3.sleep(20);
    Kit3.write(socket, Kit3.head(server, request, 200,
        "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\nConfidence: "
            + (model.equals("small") ? CONFIDENCE : "95") + "\r\nTransfer-Encoding: chunked\r\n"));
    for (int i = 1; i <= EVENTS; i++) {
      String event = "id: " + i + "\ndata: token-" + i + "\n\n";
      Kit3.write(socket, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
      Kit3.sleep(10);
    }
    Kit3.write(socket, "0\r\n\r\n");
    return !request.field("connection").equals("close");
  }

  private static String manifest() {
    return "{\"version\":7,\"routes\":[{\"name\":\"draft\",\"host\":\"h.example\",\"pathPrefix\":\"/draft/\","
        + "\"kind\":\"streaming\",\"timeoutMs\":25000,\"targetLatencyMs\":4000,\"priority\":0,"
        + "\"sizes\":[\"small\",\"large\"],\"service\":\"gen\",\"maxAttempts\":3,\"public\":true,"
        + "\"sticky\":true,\"resumable\":false,\"gapTargetMs\":1000}],"
        + "\"services\":[{\"name\":\"gen\",\"healthPath\":\"/health\",\"maxConns\":370,"
        + "\"engine\":{\"slots\":64,\"kvCapacity\":551700,\"stride\":6,\"models\":["
        + "{\"name\":\"small\",\"cost\":0.017},{\"name\":\"large\",\"cost\":0.25}]}}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
        + "\"idleTimeoutMs\":15000}}";
  }
}
