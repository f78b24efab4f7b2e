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
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Entry host that runs as a separate process, so that tests can kill, suspend or stop it. */
final class HostProcess implements AutoCloseable {
  /** Hash of the password "quickstart", which both operators use. */
  private static final String PASSWORD_HASH =
      "pbkdf2-sha256$600000$RUAPh/ifHa+fKAvcoh0e0Q==$0+xa7ijxP6b44We3h+itHJsa1C2xuLeiLO0eQOIWaDM=";

  private static final int FIRST_PORT = 22_000;
  private static final int END_PORT = 32_000;
  private static final int MAX_PORT_TRIES = 1000;

  final String name;
  final String domain;
  final int callerPort = findFreePort();
  final int operatorPort = findFreePort();
  final int peerPort = findFreePort();
  private final Process process;
  private final Path settingsFile;

  HostProcess(String name, String domain, Cluster cluster) throws IOException {
    this.name = name;
    this.domain = domain;
    settingsFile = Files.createTempFile(name, ".json");
    Files.writeString(settingsFile, settingsJson(cluster));
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
                settingsFile.toString())
            .inheritIO()
            .start();
  }

  private String settingsJson(Cluster cluster) {
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
            .replace("%5$s", cluster.ratingService.address())
            .replace("%6$s", PASSWORD_HASH),
        name,
        domain,
        callerPort,
        operatorPort,
        peerPort);
  }

  /**
   * Returns a free port below those that the system gives to outgoing connections, which could take
   * it before the process of the host binds it.
   */
  private static int findFreePort() {
    for (int i = 0; i < MAX_PORT_TRIES; i++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (IOException e) {
        // In use; the next one may be free.
      }
    }
    throw new IllegalStateException("no free port on the loopback interface");
  }

  /** Waits until the host reports that it is ready; throws if the process exits before. */
  void awaitReady(HttpClient httpClient) throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + operatorPort + "/readyz")).build();
    while (process.isAlive()) {
      try {
        if (httpClient.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200) {
          return;
        }
      } catch (IOException e) {
        // The host is not listening yet.
      }
      Thread.sleep(50);
    }
    throw new IllegalStateException(name + " exited with code " + process.exitValue());
  }

  /** Kills the process and waits until it has exited. */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Sends a signal, given by its name without the prefix SIG, such as {@code STOP}. */
  void sendSignal(String signalName) throws IOException, InterruptedException {
    new ProcessBuilder("sh", "-c", "kill -" + signalName + " " + process.pid()).start().waitFor();
  }

  /** Waits up to 60 seconds until the process exits and returns its exit code. */
  int awaitExit() throws InterruptedException {
    if (!process.waitFor(60, TimeUnit.SECONDS)) {
      throw new IllegalStateException(name + " did not exit within 60 seconds");
    }
    return process.exitValue();
  }

  @Override
  public void close() throws Exception {
    sendSignal("CONT");
    kill();
    Files.deleteIfExists(settingsFile);
  }
}
