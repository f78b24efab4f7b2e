import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Entry hosts, started with the command and the settings template of the deploy file, and what a
 * case writes down. Each host has a loopback address of its own, because all use one metrics port.
 */
final class Deployment implements AutoCloseable {
  /** A host of the deployment. */
  final class Host {
    final String name;
    final String zone;
    final String ip;
    final String front;
    final String ready;
    final int peerPort;
    Process process;

    private Host(String name, String zone, String ip) throws IOException {
      this.name = name;
      this.zone = zone;
      this.ip = ip;
      this.front = ip + ":" + freePort(ip);
      this.ready = ip + ":" + freePort(ip);
      this.peerPort = freePort(ip);
    }

    /** Starts the process with the settings that the template gives. */
    void start() throws IOException {
      Path settings = folder.resolve(name + ".yaml");
      Files.writeString(settings, settings());
      ProcessBuilder builder = new ProcessBuilder(command());
      builder.environment().put("CLEMENTINEQUAY_NODE_FILE", settings.toString());
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".out").toFile()));
      builder.redirectError(
          ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".err").toFile()));
      process = builder.start();
      started.add(process);
    }

    private String settings() throws IOException {
      String text = Files.readString(Path.of("platform/node-settings.template"));
      String[][] values = {
        {"node", quote(name)}, {"zone", quote(zone)}, {"region", quote("r")},
        {"listen.front", quote(front)}, {"listen.ready", quote(ready)},
        {"platform.address", quote(store.address())}, {"limits.cpuShare", "0.75"},
        {"bounds.graceS", "8"}, {"bounds.retryBudgetRatio", "0.9"}, {"bounds.budgetSlack", "58"},
        {"bounds.budgetWindowS", "10"}, {"bounds.sessionS", "5"}, {"bounds.drainMs", "2000"},
        {"bounds.configMs", "2000"}
      };
      for (String[] value : values) {
        text = text.replace("{{" + value[0] + "|json}}", value[1]);
      }
      text = text.replace("{{ip}}", ip).replace("{{portRange.0}}", Integer.toString(peerPort));
      if (text.contains("{{")) {
        throw new IOException("the settings template has a field that this driver does not know");
      }
      return text;
    }

    boolean isReady() {
      try {
        HttpURLConnection connection =
            (HttpURLConnection) new URL("http://" + ready + "/v1/ready").openConnection();
        connection.setConnectTimeout(300);
        connection.setReadTimeout(1000);
        return connection.getResponseCode() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    boolean hasRunOutOfMemory() {
      try {
        return Files.readString(folder.resolve(name + ".err")).contains("OutOfMemoryError");
      } catch (IOException e) {
        return false;
      }
    }

    void awaitReady() throws IOException, InterruptedException {
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
      while (!isReady()) {
        if (end - System.nanoTime() < 0 || !process.isAlive()) {
          throw new IOException(name + " does not get ready");
        }
        Thread.sleep(50);
      }
    }

    void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
      log("signal " + signal + " to " + name);
    }
  }

  final Path folder = Files.createTempDirectory("review");
  final Store store;
  final List<Host> hosts = new ArrayList<>();
  private final List<Process> started = new ArrayList<>();
  private final PrintWriter record;
  private final int subnet = (int) (ProcessHandle.current().pid() % 250) + 2;

  Deployment(String caseFolder) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
    store = new Store(ip(1));
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  /** Returns whether the disruption is part of this run. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  String ip(int number) {
    return "127.77." + subnet + "." + number;
  }

  /** Adds hosts in the zones, one each. */
  void addHosts(String... zones) throws IOException {
    for (String zone : zones) {
      int number = hosts.size() + 1;
      hosts.add(new Host("front-" + number, zone, ip(10 + number)));
    }
  }

  void startAll() throws IOException, InterruptedException {
    for (Host host : hosts) {
      host.start();
    }
    for (Host host : hosts) {
      host.awaitReady();
    }
    log(hosts.size() + " hosts are ready");
  }

  synchronized void log(String text) {
    record.println(System.currentTimeMillis() + " " + text);
  }

  /** Writes the verdict, ends all processes and exits. */
  void finish(boolean broken, String verdict) {
    log((broken ? "BROKEN: " : "held: ") + verdict);
    System.out.println((broken ? "BROKEN: " : "held: ") + verdict);
    close();
    System.exit(broken ? 1 : 0);
  }

  private static List<String> command() throws IOException {
    Matcher matcher =
        Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!matcher.find()) {
      throw new IOException("the deploy file has no command");
    }
    return List.of(matcher.group(1).split(" "));
  }

  private static String quote(String text) {
    return '"' + text + '"';
  }

  private static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }

  private void killAll() {
    for (Process process : started) {
      process.destroyForcibly();
    }
    for (Process process : started) {
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  @Override
  public void close() {
    killAll();
    File[] files = folder.toFile().listFiles();
    for (File file : files == null ? new File[0] : files) {
      file.delete();
    }
    folder.toFile().delete();
  }

  /** Returns a manifest with the given routes and services. */
  static String manifest(int version, String routes, String services) {
    return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
        + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"growers\","
        + "\"apiKeys\":[\"key-1\"],\"priority\":1}]}";
  }

  static String route(
      String name, String prefix, String kind, int timeoutMs, int targetMs, String service,
      int attempts, boolean resumable) {
    String stream =
        kind.equals("streaming")
            ? ",\"sticky\":true,\"resumable\":" + resumable + ",\"gapTargetMs\":1000"
            : "";
    return String.format(
        "{\"name\":\"%s\",\"host\":\"h.example\",\"pathPrefix\":\"%s\",\"kind\":\"%s\","
            + "\"timeoutMs\":%d,\"targetLatencyMs\":%d,\"priority\":0,\"service\":\"%s\","
            + "\"maxAttempts\":%d,\"public\":false%s}",
        name, prefix, kind, timeoutMs, targetMs, service, attempts, stream);
  }

  static String engineService(String name, int slots) {
    return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConns\":370,"
        + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":" + slots
        + ",\"kvCapacity\":551700,\"stride\":1,\"models\":[{\"name\":\"m\",\"cost\":0.1}]}}";
  }

  static String plainService(String name) {
    return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConns\":110,"
        + "\"protocol\":\"h1\",\"tls\":false}";
  }

  static final String KEY = "Authorization: Token key-1\r\n";

  static String streamHeaders(int deadlineMs) {
    return KEY + "Deadline-Ms: " + deadlineMs + "\r\nModel: m\r\nToken-Count: 600,60\r\n"
        + "Prompt-Prefix: 5c1e07a2:200,91bd3f06:400\r\n";
  }
}
