package org.clementinequay.review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers who send some requests ahead on one connection and read the answers late, on two hosts. A
 * host that ends is started again, as the platform does.
 */
final class UnreadAnswers {
  private static final int HOSTS = 2;
  private static final long START_MILLIS = 80_000;
  private static final int ENDS_OF_A_HOST = 3;
  private static final int CALLERS = 250;
  private static final int AHEAD = 8;
  private static final int ANSWER_BYTES = 900_000;
  private static final long WORK_MILLIS = 1500;
  private static final long UNREAD_MILLIS = Kit3.trouble() ? 13_000 : 0;
  private static final int RECEIVE_BUFFER = Kit3.trouble() ? 4096 : 1 << 18;

  private UnreadAnswers() {}

  public static void main(String[] args) {
    Kit3.runCase(args, UnreadAnswers::run);
  }

  private static int run(Path caseFolder) throws Exception {
    Path folder = Files.createTempDirectory("review");
    List<Kit3.Host> hosts = new ArrayList<>();
    int[] ends = new int[HOSTS];
    long lastStart = System.nanoTime() + START_MILLIS * 1_000_000;
    try (Kit3.Record record = new Kit3.Record(caseFolder.resolve("record.txt"));
        Kit3.Store store = new Kit3.Store()) {
      store.put("op", "config", manifest());
      for (int i = 1; i <= 6; i++) {
        Kit3.Server server = new Kit3.Server("s-" + i, UnreadAnswers::answer);
        store.put("servers", server.id, server.entry("app", "a", "v1", "ready"));
      }
      for (int i = 1; i <= HOSTS; i++) {
        hosts.add(new Kit3.Host("host-" + i, "a", store, folder, record));
      }
      try {
        for (int round = 1; least(ends) < ENDS_OF_A_HOST && System.nanoTime() < lastStart; round++) {
          if (!startEnded(hosts, round, record)) {
            return Kit3.COULD_NOT_RUN;
          }
          List<Thread> crowds = new ArrayList<>();
          for (Kit3.Host host : hosts) {
            int number = round;
            crowds.add(Kit3.start("crowd", () -> besiege(host, number, record)));
          }
          for (Thread crowd : crowds) {
            crowd.join();
          }
          for (int i = 0; i < HOSTS; i++) {
            if (!hosts.get(i).isAlive()) {
              ends[i]++;
              record.line("%s ended by itself with code %d, %d times so far",
                  hosts.get(i).name, hosts.get(i).exitCode(), ends[i]);
            }
          }
          if (!Kit3.trouble() && round == ENDS_OF_A_HOST) {
            break;
          }
        }
      } finally {
        hosts.forEach(Kit3.Host::close);
      }
      record.line("each of %d hosts ended by itself at least %d times", HOSTS, least(ends));
      return least(ends) >= ENDS_OF_A_HOST ? Kit3.BROKEN : Kit3.HELD;
    } finally {
      Kit3.deleteFolder(folder);
    }
  }

  private static int least(int[] ends) {
    return Math.min(ends[0], ends[1]);
  }

  private static boolean startEnded(List<Kit3.Host> hosts, int round, Kit3.Record record)
      throws IOException {
    for (Kit3.Host host : hosts) {
      if (round == 1 || !host.isAlive()) {
        host.start();
      }
    }
    for (Kit3.Host host : hosts) {
      if (!host.awaitReady(20_000)) {
        record.line("%s does not get ready", host.name);
        return false;
      }
    }
    return true;
  }

  private static void besiege(Kit3.Host host, int round, Kit3.Record record)
      throws InterruptedException {
    AtomicInteger whole = new AtomicInteger();
    AtomicInteger refused = new AtomicInteger();
    AtomicInteger cut = new AtomicInteger();
    CountDownLatch done = new CountDownLatch(CALLERS);
    for (int i = 0; i < CALLERS; i++) {
      String id = host.name + "-" + round + "-" + i;
      Kit3.start(
          "caller",
          () -> {
            try (Socket socket = host.connect(RECEIVE_BUFFER)) {
              socket.setSoTimeout(15_000);
              StringBuilder requests = new StringBuilder();
              for (int n = 0; n < AHEAD; n++) {
                requests.append("GET /look/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: ")
                    .append(id).append('-').append(n).append("\r\nDeadline-Ms: 8000\r\n\r\n");
              }
              Kit3.write(socket, requests.toString());
              Kit3.sleep(UNREAD_MILLIS);
              InputStream in = new BufferedInputStream(socket.getInputStream());
              for (int n = 0; n < AHEAD; n++) {
                Kit3.Message answer = Kit3.read(in);
                (answer.status() != 200 ? refused : answer.complete() ? whole : cut)
                    .incrementAndGet();
              }
            } catch (IOException e) {
              cut.incrementAndGet();
            } finally {
              done.countDown();
            }
          });
    }
    done.await(30, TimeUnit.SECONDS);
    Kit3.sleep(200);
    record.line("%s round %d: %d callers with %d requests each, answers of %d bytes; "
            + "%d answers whole, %d refused, %d connections ended early; the host %s",
        host.name, round, CALLERS, AHEAD, ANSWER_BYTES, whole.get(), refused.get(), cut.get(),
        host.isAlive() ? "runs, " + host.residentMegabytes() + " MB resident" : "has ended");
  }

  private static boolean answer(Kit3.Server server, Kit3.Message request, Socket socket)
      throws IOException {
    Kit3.sleep(WORK_MILLIS);
    Kit3.write(socket, Kit3.head(server, request, 200, "Content-Length: " + ANSWER_BYTES + "\r\n"));
    byte[] part = new byte[ANSWER_BYTES / 20];
    for (int i = 0; i < 20; i++) {
      socket.getOutputStream().write(part);
    }
    return true;
  }

  private static String manifest() {
    return "{\"version\":7,\"routes\":[{\"name\":\"look\",\"host\":\"h.example\",\"pathPrefix\":\"/look/\","
        + "\"kind\":\"safe\",\"timeoutMs\":8000,\"targetLatencyMs\":4000,\"priority\":1,\"service\":\"app\","
        + "\"maxAttempts\":1,\"public\":true,\"resumable\":false}],"
        + "\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConns\":370}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
        + "\"idleTimeoutMs\":15000}}";
  }
}
