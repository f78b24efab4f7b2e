package org.clementinequay.review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator replaces a roll-out order by a longer one with the same target while one of three
 * hosts stands still. The host wakes after the time budget of the first order.
 */
final class ReplacedOrder {
  private static final String SERVICE = "app";
  private static final int CALLERS = 20;
  private static final long PACE_MILLIS = 1000;
  private static final int FIRST_SECONDS = 12;
  private static final int SECOND_SECONDS = 24;
  private static final long FREEZE_AT_MILLIS = 8200;
  private static final long FREEZE_MILLIS = 4000;
  private static final long REPLACED_AT_MILLIS = 8700;
  private static final long BAD_AT_MILLIS = 12_800;
  private static final double EXPOSURE_SHARE = 0.15;
  private static final int EXPOSURE_SLACK = 30;

  private static volatile boolean bad;
  private static volatile boolean ended;

  private ReplacedOrder() {}

  /** Requests that reach the service from an order to the end of its time budget. */
  private static final class Window {
    private final AtomicInteger all = new AtomicInteger();
    private final AtomicInteger ofTarget = new AtomicInteger();
    private final long endNanos;

    private Window(int seconds) {
      endNanos = System.nanoTime() + seconds * 1_000_000_000L;
    }

    private void count(boolean target) {
      if (System.nanoTime() - endNanos < 0) {
        all.incrementAndGet();
        ofTarget.addAndGet(target ? 1 : 0);
      }
    }

    private double bound() {
      return EXPOSURE_SHARE * all.get() + EXPOSURE_SLACK;
    }

    private boolean broken() {
      return ofTarget.get() > bound();
    }
  }

  private static final List<Window> windows = new CopyOnWriteArrayList<>();

  public static void main(String[] args) {
    Kit3.runCase(args, ReplacedOrder::run);
  }

  private static int run(Path caseFolder) throws Exception {
    Path folder = Files.createTempDirectory("review");
    List<Kit3.Host> hosts = new ArrayList<>();
    try (Kit3.Record record = new Kit3.Record(caseFolder.resolve("record.txt"));
        Kit3.Store store = new Kit3.Store()) {
      store.put("op", "config", manifest());
      List<Kit3.Server> old = servers(store, "v1");
      for (int i = 1; i <= 3; i++) {
        hosts.add(new Kit3.Host("host-" + i, i < 3 ? "a" : "b", store, folder, record));
      }
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
        Kit3.sleep(6000);
        startTraffic(hosts.subList(0, 2));
        Kit3.sleep(3000);
        return rollOut(hosts, old, store, record);
      } finally {
        ended = true;
        hosts.forEach(Kit3.Host::close);
      }
    } finally {
      Kit3.deleteFolder(folder);
    }
  }

  private static int rollOut(
      List<Kit3.Host> hosts, List<Kit3.Server> old, Kit3.Store store, Kit3.Record record)
      throws Exception {
    servers(store, "v2");
    Kit3.sleep(2500);
    Kit3.start("platform", () -> platform(store, old, record));
    final Window first = new Window(FIRST_SECONDS);
    windows.add(first);
    final long start = System.nanoTime();
    order(store, FIRST_SECONDS, record);
    sleepUntil(start, FREEZE_AT_MILLIS);
    if (Kit3.trouble()) {
      hosts.get(2).signal("STOP");
    }
    sleepUntil(start, REPLACED_AT_MILLIS);
    String before = String.valueOf(store.get("status", "rollout/" + SERVICE));
    record.line("status before the second order: %s", before);
    final Window second = new Window(SECOND_SECONDS);
    windows.add(second);
    order(store, SECOND_SECONDS, record);
    sleepUntil(start, FREEZE_AT_MILLIS + FREEZE_MILLIS);
    if (Kit3.trouble()) {
      hosts.get(2).signal("CONT");
    }
    sleepUntil(start, BAD_AT_MILLIS);
    bad = true;
    record.line("from now on half of the answers of v2 are failures");
    sleepUntil(start, REPLACED_AT_MILLIS + SECOND_SECONDS * 1000L);
    for (Kit3.Host host : hosts) {
      if (!host.isAlive()) {
        record.line("%s has ended", host.name);
      }
    }
    for (Window window : windows) {
      record.line("order %d: %d requests reached the service, %d of them v2; at most %.0f may",
          windows.indexOf(window) + 1, window.all.get(), window.ofTarget.get(), window.bound());
    }
    if (before.contains("completed") || before.contains("rolled_back")) {
      record.line("the first order had ended before it was replaced");
      return Kit3.COULD_NOT_RUN;
    }
    return first.broken() || second.broken() ? Kit3.BROKEN : Kit3.HELD;
  }

  private static void sleepUntil(long startNanos, long millis) {
    Kit3.sleep(Math.max(0, millis - (System.nanoTime() - startNanos) / 1_000_000));
  }

  private static void order(Kit3.Store store, int seconds, Kit3.Record record) {
    long revision =
        store.put("op", "rollout/" + SERVICE,
            "{\"service\":\"" + SERVICE + "\",\"target\":\"v2\",\"durationS\":" + seconds + "}");
    record.line("order: %s to v2 in %d s, revision %d", SERVICE, seconds, revision);
  }

  /** Watches the state of the roll-out; once it is completed, stops the old servers. */
  private static void platform(Kit3.Store store, List<Kit3.Server> old, Kit3.Record record)
      throws IOException {
    String known = "";
    while (!ended) {
      String status = String.valueOf(store.get("status", "rollout/" + SERVICE));
      if (!status.equals(known)) {
        known = status;
        record.line("status: %s", status);
        if (status.contains("completed")) {
          for (Kit3.Server server : old) {
            server.crash();
            store.remove("servers", server.id);
          }
          record.line("the old servers are stopped");
        }
      }
      Kit3.sleep(20);
    }
  }

  private static List<Kit3.Server> servers(Kit3.Store store, String version) throws IOException {
    List<Kit3.Server> servers = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      Kit3.Server server = new Kit3.Server(version + "-" + i, ReplacedOrder::answer);
      servers.add(server);
      store.put("servers", server.id, server.entry(SERVICE, i < 3 ? "a" : "b", version, "ready"));
    }
    return servers;
  }

  private static boolean answer(Kit3.Server server, Kit3.Message request, Socket socket)
      throws IOException {
    boolean target = server.id.startsWith("v2");
    windows.forEach(window -> window.count(target));
    Kit3.sleep(20);
    boolean fails = target && bad && ThreadLocalRandom.current().nextBoolean();
    Kit3.write(socket,
        Kit3.head(server, request, fails ? 500 : 200, "Content-Length: 2\r\n") + "ok");
    return true;
  }

  private static void startTraffic(List<Kit3.Host> hosts) {
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
                  Kit3.sleep(ThreadLocalRandom.current().nextLong(2 * PACE_MILLIS));
                  Kit3.write(socket, "GET /look/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q-"
                      + next.getAndIncrement() + "\r\nDeadline-Ms: 1500\r\n\r\n");
                  Kit3.read(in);
                }
              } catch (IOException e) {
                Kit3.sleep(50);
              }
            }
          });
    }
  }

  private static String manifest() {
    return "{\"version\":7,\"routes\":[{\"name\":\"look\",\"host\":\"h.example\",\"pathPrefix\":\"/look/\","
        + "\"kind\":\"safe\",\"timeoutMs\":800,\"targetLatencyMs\":150,\"priority\":1,\"service\":\"app\","
        + "\"maxAttempts\":1,\"public\":true,\"resumable\":false}],"
        + "\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConns\":110}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
        + "\"idleTimeoutMs\":15000}}";
  }
}
