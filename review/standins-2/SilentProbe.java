package org.clementinequay.review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A service has one server in each of four zones. Three of them, one after the other, crash, start
 * again under their ids and fall silent for a second at their first request. Later the fourth one,
 * which is in the zone of the host, drains and leaves.
 */
final class SilentProbe {
  private static final int CALLERS = 16;
  private static final int TURNS = 2;
  private static final long DOWN_MILLIS = 2000;
  private static final long SILENT_MILLIS = 1000;
  private static final long CALM_MILLIS = 4000;
  private static final long WORK_MILLIS = 43;

  private static volatile boolean ended;

  /** Whether the server in the zone of the host says that it leaves. */
  private static volatile boolean draining;
  /** Servers that have started again and had no request yet. */
  private static final Set<String> fresh = ConcurrentHashMap.newKeySet();

  /** Times until which servers are silent, by id. */
  private static final Map<String, Long> silentUntil = new ConcurrentHashMap<>();

  private SilentProbe() {}

  /** Answers to the requests of one route, while they are counted. */
  private static final class Route {
    private final String path;
    private volatile boolean counts;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();

    private Route(String path) {
      this.path = path;
    }

    private double share() {
      return sent.get() == 0 ? 0 : served.get() / (double) sent.get();
    }
  }

  public static void main(String[] args) {
    Kit3.runCase(args, SilentProbe::run);
  }

  private static int run(Path caseFolder) throws Exception {
    Path folder = Files.createTempDirectory("review");
    List<Kit3.Host> hosts = new ArrayList<>();
    try (Kit3.Record record = new Kit3.Record(caseFolder.resolve("record.txt"));
        Kit3.Store store = new Kit3.Store()) {
      store.put("op", "config", manifest(7, false));
      Kit3.Server web = new Kit3.Server("w-1", SilentProbe::answer);
      store.put("servers", web.id, web.entry("web", "b", "v1", "ready"));
      Kit3.Server leaving = new Kit3.Server("s-a", SilentProbe::answer);
      store.put("servers", leaving.id, leaving.entry("app", "a", "v1", "ready"));
      List<Kit3.Server> sound = new ArrayList<>();
      for (String zone : List.of("b", "c", "d")) {
        Kit3.Server server = new Kit3.Server("s-" + zone, SilentProbe::answer);
        store.put("servers", server.id, server.entry("app", zone, "v1", "ready"));
        sound.add(server);
      }
      hosts.add(new Kit3.Host("host-1", "a", store, folder, record));
      try {
        for (Kit3.Host host : hosts) {
          host.start();
        }
        for (Kit3.Host host : hosts) {
          if (!host.awaitReady(20_000)) {
            record.line("%s does not get ready", host.name);
            return Kit3.COULD_NOT_RUN;
          }
        }
        Route first = new Route("/look/1");
        Route ofApp = new Route("/stamp/1");
        startTraffic(hosts, first);
        startTraffic(hosts, ofApp);
        Kit3.sleep(4000);
        for (int i = 0; i < TURNS * sound.size() && Kit3.trouble(); i++) {
          int index = i % sound.size();
          sound.set(index, crash(sound.get(index), store, record));
          Kit3.sleep(CALM_MILLIS);
        }
        Kit3.sleep(3000);
        draining = true;
        store.put("servers", leaving.id, leaving.entry("app", "a", "v1", "draining"));
        record.line("s-a is draining");
        Kit3.sleep(4000);
        store.remove("servers", leaving.id);
        leaving.crash();
        record.line("s-a has left");
        Kit3.sleep(1000);
        store.put("op", "config", manifest(8, true));
        record.line("manifest 8 adds the route new");
        Route later = new Route("/new/1");
        Kit3.sleep(3000);
        int before = runs(sound);
        startTraffic(hosts, later);
        for (Route route : List.of(first, ofApp, later)) {
          route.counts = true;
        }
        Kit3.sleep(15_000);
        record.line("s-b, s-c and s-d, which are ready and answer within %d ms, ran %d requests in 15 s",
            WORK_MILLIS, runs(sound) - before);
        for (Route route : List.of(first, ofApp, later)) {
          record.line("%s: %d requests, %d served", route.path, route.sent.get(), route.served.get());
        }
        int sent = first.sent.get() + ofApp.sent.get();
        double firstShare = (first.served.get() + ofApp.served.get()) / (double) sent;
        if (later.sent.get() < 20 || firstShare == 0) {
          return Kit3.COULD_NOT_RUN;
        }
        return later.share() < 0.25 * firstShare ? Kit3.BROKEN : Kit3.HELD;
      } finally {
        ended = true;
        hosts.forEach(Kit3.Host::close);
      }
    } finally {
      Kit3.deleteFolder(folder);
    }
  }

  private static int runs(List<Kit3.Server> servers) {
    return servers.stream().mapToInt(Kit3.Server::runs).sum();
  }

  /** Crashes a server and returns the process that starts at its address under its id. */
  private static Kit3.Server crash(Kit3.Server server, Kit3.Store store, Kit3.Record record)
      throws IOException {
    record.line("%s crashes", server.id);
    server.crash();
    Kit3.sleep(DOWN_MILLIS);
    String[] address = server.address.split(":");
    fresh.add(server.id);
    Kit3.Server next =
        new Kit3.Server(server.id, SilentProbe::answer, address[0], Integer.parseInt(address[1]));
    store.put("servers", next.id,
        next.entry("app", next.id.substring(2), "v1", "ready")
            .replace("1700000000000", "1700000009000"));
    record.line("%s has started again", next.id);
    return next;
  }

  private static boolean answer(Kit3.Server server, Kit3.Message request, Socket socket)
      throws IOException {
    if (fresh.remove(server.id)) {
      silentUntil.put(server.id, System.nanoTime() + SILENT_MILLIS * 1_000_000);
    }
    long silent = silentUntil.getOrDefault(server.id, System.nanoTime()) - System.nanoTime();
    Kit3.sleep(WORK_MILLIS + Math.max(0, silent / 1_000_000));
    String leaving = draining && server.id.equals("s-a") ? "Server-Leaving: 1\r\n" : "";
    Kit3.write(socket, Kit3.head(server, request, 200, leaving + "Content-Length: 2\r\n") + "ok");
    return true;
  }

  private static void startTraffic(List<Kit3.Host> hosts, Route route) {
    AtomicInteger next = new AtomicInteger();
    for (int i = 0; i < CALLERS; i++) {
      Kit3.Host host = hosts.get(i % hosts.size());
      Kit3.start(
          "caller",
          () -> {
            while (!ended) {
              try (Socket socket = host.connect()) {
                socket.setSoTimeout(3000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (!ended) {
                  Kit3.sleep(ThreadLocalRandom.current().nextLong(1000));
                  boolean counted = route.counts;
                  Kit3.write(socket, "GET " + route.path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "
                      + route.path.replace("/", "") + "-" + next.getAndIncrement()
                      + "\r\nDeadline-Ms: 1500\r\n\r\n");
                  Kit3.Message answer = Kit3.read(in);
                  if (counted) {
                    route.sent.incrementAndGet();
                    route.served.addAndGet(answer.status() == 200 ? 1 : 0);
                  }
                }
              } catch (IOException e) {
                Kit3.sleep(50);
              }
            }
          });
    }
  }

  private static String manifest(int version, boolean more) {
    return "{\"version\":" + version + ",\"routes\":[" + route("look", "web") + "," + route("stamp", "app")
        + (more ? "," + route("new", "app") : "")
        + "],\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConns\":110},"
        + "{\"name\":\"web\",\"healthPath\":\"/health\",\"maxConns\":110}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
        + "\"idleTimeoutMs\":15000}}";
  }

  private static String route(String name, String service) {
    return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"pathPrefix\":\"/" + name + "/\","
        + "\"kind\":\"safe\",\"timeoutMs\":800,\"targetLatencyMs\":150,\"priority\":2,\"service\":\""
        + service + "\",\"maxAttempts\":2,\"public\":true,\"resumable\":false}";
  }
}
