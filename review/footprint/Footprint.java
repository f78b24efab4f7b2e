import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Measures what a host costs: processor time until it is ready, private memory, threads and
 * descriptors at ease, and processor time a request and the peak of the private memory under load.
 * Prints one line; the hosts run with the command of the deploy file.
 */
final class Footprint {
  private static final int HOSTS = Integer.getInteger("hosts", 3);
  private static final int EASE_SECONDS = Integer.getInteger("ease", 20);
  private static final int LOAD_SECONDS = Integer.getInteger("load", 30);

  /** Connections to each host and the pause of each between two requests. */
  private static final int CONNECTIONS = 4;

  private static final int PAUSE_MILLIS = Integer.getInteger("pause", 60);
  private static final int EVENTS = 20;
  private static final int EVENT_MILLIS = 10;
  private static final int BODY_BYTES = 12_000;
  private static final int TICK_MILLIS = 10;

  public static void main(String[] args) throws Exception {
    try (Deployment deployment = new Deployment("/tmp")) {
      run(deployment);
    }
    System.exit(0);
  }

  private static void run(Deployment deployment) throws Exception {
    List<String> zones = List.of("a", "b", "c");
    for (int i = 0; i < HOSTS; i++) {
      deployment.addHosts(zones.get(i % zones.size()));
    }
    for (int i = 0; i < zones.size(); i++) {
      Upstream plain =
          new Upstream(
              "p-" + i,
              deployment.ip(5 + i),
              (request, out, run) -> Upstream.answerWhole(request, out, "lot"));
      Upstream engine =
          new Upstream("e-" + i, deployment.ip(8 + i), (request, out, run) -> stream(request, out));
      deployment.store.put("servers", plain.id, plain.entry("plain", zones.get(i), 64));
      deployment.store.put("servers", engine.id, engine.entry("engine", zones.get(i), 64));
    }
    deployment.store.put(
        "op",
        "config",
        Deployment.manifest(
            1,
            Deployment.route("lots", "/lots/", "safe", 800, 150, "plain", 2, false)
                + ","
                + Deployment.route(
                    "talk", "/talk/", "streaming", 8000, 1500, "engine", 2, true),
            Deployment.plainService("plain") + "," + Deployment.engineService("engine", 64)));
    long begin = System.nanoTime();
    deployment.startAll();
    long readyMillis = (System.nanoTime() - begin) / 1_000_000;
    double readyCpu = mean(deployment, Footprint::processorMillis);
    Thread.sleep(EASE_SECONDS * 1000L);
    double easeCpu = mean(deployment, Footprint::processorMillis);
    String ease =
        String.format(
            "ease: private %.1f MB rss %.1f MB threads %.0f fds %.0f",
            mean(deployment, pid -> smaps(pid, "Private_")),
            mean(deployment, pid -> smaps(pid, "Rss:")),
            mean(deployment, pid -> count(pid, "task")),
            mean(deployment, pid -> count(pid, "fd")));
    String idle = String.format("cpu at ease %.2f ms/s", (easeCpu - readyCpu) / EASE_SECONDS);
    hook("ease", deployment);
    double before = mean(deployment, Footprint::processorMillis);
    AtomicInteger whole = new AtomicInteger();
    AtomicInteger failed = new AtomicInteger();
    double[] peak = new double[1];
    load(deployment, whole, failed, peak);
    double after = mean(deployment, Footprint::processorMillis);
    hook("load", deployment);
    System.out.printf(
        "%d hosts ready after %d ms, %.0f ms cpu | %s, %s | load: %d whole %d failed,"
            + " %.2f ms cpu a request, private %.1f MB at most, threads %.0f%n",
        HOSTS,
        readyMillis,
        readyCpu,
        ease,
        idle,
        whole.get(),
        failed.get(),
        (after - before) * HOSTS / Math.max(1, whole.get()),
        peak[0],
        mean(deployment, pid -> count(pid, "task")));
  }

  /** Runs the command that the environment names, with the process id of the first host. */
  private static void hook(String moment, Deployment deployment) throws Exception {
    String command = System.getenv("HOOK");
    if (command != null) {
      new ProcessBuilder(
              command, moment, Long.toString(deployment.hosts.get(0).process.pid()))
          .inheritIO()
          .start()
          .waitFor();
    }
  }

  private static void stream(Http.Message request, java.io.OutputStream out)
      throws IOException, InterruptedException {
    Upstream.beginStream(request, out);
    for (int i = 1; i <= EVENTS; i++) {
      Thread.sleep(EVENT_MILLIS);
      Upstream.event(out, i);
    }
    Upstream.endStream(out);
  }

  private static void load(
      Deployment deployment, AtomicInteger whole, AtomicInteger failed, double[] peak)
      throws Exception {
    long end = System.currentTimeMillis() + LOAD_SECONDS * 1000L;
    List<Thread> threads = new ArrayList<>();
    for (Deployment.Host host : deployment.hosts) {
      for (int i = 0; i < CONNECTIONS; i++) {
        boolean streams = i == 0;
        threads.add(Upstream.daemon("client", () -> call(host, streams, end, whole, failed)));
      }
    }
    while (System.currentTimeMillis() < end) {
      peak[0] = Math.max(peak[0], mean(deployment, pid -> smaps(pid, "Private_")));
      Thread.sleep(1000);
    }
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private static void call(
      Deployment.Host host, boolean streams, long end, AtomicInteger whole, AtomicInteger failed) {
    byte[] body = new byte[BODY_BYTES];
    while (System.currentTimeMillis() < end) {
      try (Client client = new Client(host.front, 10_000)) {
        boolean kept = true;
        while (kept && System.currentTimeMillis() < end) {
          Client.Outcome outcome =
              streams
                  ? client.call("POST", "/talk/1", Deployment.streamHeaders(8000), body)
                  : client.call(
                      "GET", "/lots/1", Deployment.KEY + "Deadline-Ms: 1500\r\n", null);
          (outcome.whole() && outcome.status() == 200 ? whole : failed).incrementAndGet();
          kept = outcome.kept();
          Thread.sleep(PAUSE_MILLIS);
        }
      } catch (IOException e) {
        failed.incrementAndGet();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private interface Figure {
    double of(long pid) throws IOException;
  }

  private static double mean(Deployment deployment, Figure figure) throws IOException {
    double sum = 0;
    for (Deployment.Host host : deployment.hosts) {
      sum += figure.of(host.process.pid());
    }
    return sum / deployment.hosts.size();
  }

  /** Returns the processor time of a process in milliseconds. */
  private static double processorMillis(long pid) throws IOException {
    String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * TICK_MILLIS;
  }

  /** Returns the sum of the lines with a prefix in MB. */
  private static double smaps(long pid, String prefix) throws IOException {
    double sum = 0;
    for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/smaps_rollup"))) {
      if (line.startsWith(prefix) && !line.startsWith("Private_Hugetlb")) {
        sum += Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024;
      }
    }
    return sum;
  }

  private static double count(long pid, String folder) throws IOException {
    int count = 0;
    try (DirectoryStream<Path> files =
        Files.newDirectoryStream(Path.of("/proc/" + pid + "/" + folder))) {
      for (Path ignored : files) {
        count++;
      }
    }
    return count;
  }
}
