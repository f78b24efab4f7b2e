import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A host of the project as a process of its own, started with the command of the deploy file. */
final class Host {
  private static final int START_SECONDS = 60;

  final String name;
  final int callers = Net.freePort();
  final int ready = Net.freePort();
  private final int peers = Net.freePort();
  final int metrics = Net.freePort();
  private final Path folder;
  private final String domain;
  private final int store;

  /** Further settings, each with a comma in front. */
  String more = "";

  private Process process;

  Host(Path folder, String name, String domain, int store) throws IOException {
    this.folder = folder;
    this.name = name;
    this.domain = domain;
    this.store = store;
  }

  void start() throws IOException {
    Path settings = folder.resolve(name + ".json");
    Files.writeString(settings, settings());
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.redirectOutput(folder.resolve(name + ".out").toFile());
    builder.redirectError(folder.resolve(name + ".err").toFile());
    builder.environment().put("CLEMENTINEQUAY_NODE_FILE", settings.toString());
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
  }

  /** Returns the command of the role in the deploy file; this program runs in the repository. */
  private static List<String> command() throws IOException {
    String file = Files.readString(new File("deploy/system.toml").toPath());
    Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(file);
    if (!run.find()) {
      throw new IOException("the deploy file has no command");
    }
    List<String> command = new ArrayList<>(Arrays.asList(run.group(1).split(" +")));
    command.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
    return command;
  }

  /** Returns what the platform makes of the settings template for a small deployment. */
  private String settings() {
    return String.format(
        "{\"name\":\"%s\",\"domain\":\"%s\",\"region\":\"r\",\"callers\":\"127.0.0.1:%d\","
            + "\"ready\":\"127.0.0.1:%d\",\"peers\":\"127.0.0.1:%d\",\"metrics\":%d,"
            + "\"store\":\"127.0.0.1:%d\",\"processorShare\":0.75,\"stopSeconds\":8,"
            + "\"retriesPerRequest\":0.9,\"retryBurst\":58,\"retryWindowSeconds\":10,"
            + "\"sessionSeconds\":5,\"drainMillis\":2000,\"configurationMillis\":2000,"
            + "\"regions\":{\"a\":\"r\",\"b\":\"r\",\"c\":\"r\"},\"maxWaitingRequests\":32%s}",
        name, domain, callers, ready, peers, metrics, store, more);
  }

  /** Waits until the status check is good; returns false if it never is. */
  boolean awaitReady() throws InterruptedException {
    for (int i = 0; i < START_SECONDS * 10 && process.isAlive(); i++) {
      try (Socket socket = Net.connect(ready)) {
        socket.getOutputStream().write(Net.bytes("GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n"));
        Net.Message answer = Net.readHead(socket.getInputStream());
        if (answer != null && answer.status() == 200) {
          return true;
        }
      } catch (IOException e) {
        // Not listening yet.
      }
      Thread.sleep(100);
    }
    return false;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  long pid() {
    return process.pid();
  }

  int exitCode() {
    return process.exitValue();
  }

  /** Returns the last lines that the host wrote to its standard error. */
  String lastErrors() throws IOException {
    List<String> lines = Files.readAllLines(folder.resolve(name + ".err"));
    return String.join("\n", lines.subList(Math.max(0, lines.size() - 6), lines.size()));
  }

  /** Returns the last line that the host's JVM wrote to standard output beside the log. */
  String lastOutput() throws IOException {
    return Files.readAllLines(folder.resolve(name + ".out")).stream()
        .filter(line -> !line.startsWith("{"))
        .reduce("", (first, second) -> second);
  }

  /** Returns the lines of the host's log that contain a text. */
  List<String> logged(String text) throws IOException {
    return Files.readAllLines(folder.resolve(name + ".out")).stream()
        .filter(line -> line.contains(text))
        .toList();
  }

  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }
}
