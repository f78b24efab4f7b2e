package org.clementinequay.bench.path;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** An entry host in a process of its own, for tests that kill, freeze and stop it. */
final class HostProcess implements AutoCloseable {
  /** Hash of the password "quickstart". */
  private static final String PASSWORD_HASH =
      "pbkdf2-sha256$600000$RUAPh/ifHa+fKAvcoh0e0Q==$0+xa7ijxP6b44We3h+itHJsa1C2xuLeiLO0eQOIWaDM=";

  final String name;
  final String domain;
  final int callers = freePort();
  final int operators = freePort();
  final int peers = freePort();
  private final Process process;
  private final Path settings;

  HostProcess(String name, String domain, Cluster cluster) throws IOException {
    this.name = name;
    this.domain = domain;
    settings = Files.createTempFile(name, ".json");
    Files.writeString(settings, settings(cluster));
    String classPath =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx256m",
                "-Dclementinequay.log.level=warn",
                "-cp",
                classPath,
                "org.clementinequay.server.Main",
                "entry",
                "--settings",
                settings.toString())
            .inheritIO()
            .start();
  }

  private String settings(Cluster cluster) {
    return String.format(
        Locale.ROOT,
        """
        {"name": "%s", "domain": "%s", "region": "pnw", "weight": 1,
         "listeners": {"callers": "127.0.0.1:%d", "operators": "127.0.0.1:%d",
                       "peers": "127.0.0.1:%d"},
         "platform": {"tableService": "%4$s", "objectStore": "%4$s",
                      "hostDirectory": "%4$s", "ratingService": "%5$s"},
         "sessionKeys": [{"id": "k1",
                          "secret": "MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY="}],
         "operators": [{"name": "morning", "passwordHash": "%6$s"},
                       {"name": "afternoon", "passwordHash": "%6$s"}],
         "drainSeconds": 20}
        """
            .replace("%4$s", cluster.platform.address())
            .replace("%5$s", cluster.rating.address())
            .replace("%6$s", PASSWORD_HASH),
        name,
        domain,
        callers,
        operators,
        peers);
  }

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException("no free port", e);
    }
  }

  /** Waits until the host is ready. */
  void awaitReady(HttpClient http) throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + operators + "/readyz")).build();
    while (process.isAlive()) {
      try {
        if (http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200) {
          return;
        }
      } catch (IOException e) {
        // Not listening yet.
      }
      Thread.sleep(50);
    }
    throw new IllegalStateException(name + " ended with exit code " + process.exitValue());
  }

  /** Ends the process at once. */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Sends a signal by its name, such as {@code STOP}. */
  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
  }

  /** Waits for the end of the process and returns its exit code. */
  int awaitExit() throws InterruptedException {
    if (!process.waitFor(60, TimeUnit.SECONDS)) {
      throw new IllegalStateException(name + " did not end");
    }
    return process.exitValue();
  }

  @Override
  public void close() throws Exception {
    signal("CONT");
    kill();
    Files.deleteIfExists(settings);
  }
}
