import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streams are resumed when one server after another crashes, while one of seven servers fails part
 * of its requests with status 400. Fails if a client gets a success with a server's seal and a
 * complete body that is not the whole stream of a server.
 */
final class ResumeFailure {
  private static final int CLIENTS = 90;
  private static final int EVENTS = 64;
  private static final int EVENT_MILLIS = 60;
  private static final int SERVERS = 7;
  private static final int CRASHES = 10;

  /** Share of its requests that the failing server answers with a failure. */
  private static final double FAILING_SHARE = 0.4;

  private static final String FAILURE = "the prompt cannot be read";

  private static final AtomicBoolean failing = new AtomicBoolean();

  /** The server that is crashing; its connections break off and its requests stop. */
  private static volatile int crashed = -1;

  private static final Random random = new Random(27);

  public static void main(String[] args) throws Exception {
    try (Deployment deployment = new Deployment("review/2")) {
      run(deployment);
    } catch (Exception | Error e) {
      System.out.println("could not run: " + e);
      System.exit(2);
    }
  }

  private static void run(Deployment deployment) throws Exception {
    deployment.addHosts("a", "b", "c");
    AtomicInteger failures = new AtomicInteger();
    List<Upstream> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      int number = i;
      Upstream server =
          new Upstream(
              "i-" + i,
              deployment.ip(50 + i),
              (request, out, run) -> answer(number, request, out, failures));
      servers.add(server);
      deployment.store.put("servers", server.id, entry(server, i));
    }
    deployment.store.put(
        "op",
        "config",
        Deployment.manifest(
            1,
            Deployment.route("sheets", "/sheets/", "streaming", 25000, 4000, "engines", 3, true),
            Deployment.engineService("engines", 64)));
    deployment.startAll();

    List<Client.Outcome> outcomes = new CopyOnWriteArrayList<>();
    AtomicBoolean stop = new AtomicBoolean();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      Deployment.Host host = deployment.hosts.get(i % deployment.hosts.size());
      int delay = i * EVENTS * EVENT_MILLIS / CLIENTS;
      threads.add(Upstream.daemon("client", () -> callInTurn(host, delay, stop, outcomes)));
    }
    Thread.sleep(6000);
    if (Deployment.trouble()) {
      failing.set(true);
      for (int i = 0; i < CRASHES; i++) {
        crashed = 1 + i % (SERVERS - 1);
        Upstream server = servers.get(crashed);
        deployment.log("server " + server.id + " crashes");
        Thread.sleep(2000);
        // Starts again under its id, with a new time of its start.
        deployment.store.put("servers", server.id, entry(server, crashed));
        crashed = -1;
        Thread.sleep(2000);
      }
      failing.set(false);
    } else {
      Thread.sleep(CRASHES * 4000L);
    }
    stop.set(true);
    for (Thread thread : threads) {
      thread.join(20_000);
    }
    judge(deployment, outcomes, failures.get());
  }

  private static String entry(Upstream server, int number) {
    return server.entry("engines", List.of("a", "b", "c").get(number % 3), 64);
  }

  private static void answer(
      int number, Http.Message request, OutputStream out, AtomicInteger failures)
      throws IOException, InterruptedException {
    if (crashed == number) {
      throw new IOException("crashed");
    }
    if (number == 0 && failing.get() && fails()) {
      failures.incrementAndGet();
      Upstream.write(
          out,
          "HTTP/1.1 400 Bad Request\r\nRequest-Id: " + request.header("Request-Id")
              + "\r\nResponse-Seal: 3e1b.07\r\nContent-Type: text/plain\r\nContent-Length: "
              + FAILURE.length() + "\r\n\r\n" + FAILURE);
      return;
    }
    String last = request.header("Last-Event-Id");
    Upstream.beginStream(request, out);
    for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
      if (crashed == number) {
        throw new IOException("crashed");
      }
      Upstream.event(out, i);
      Thread.sleep(EVENT_MILLIS);
    }
    Upstream.endStream(out);
  }

  private static synchronized boolean fails() {
    return random.nextDouble() < FAILING_SHARE;
  }

  /** Sends one request after another, each on a new channel. */
  private static void callInTurn(
      Deployment.Host host, int delay, AtomicBoolean stop, List<Client.Outcome> outcomes) {
    try {
      Thread.sleep(delay);
      while (!stop.get()) {
        try (Client client = new Client(host.front, 10_000)) {
          outcomes.add(
              client.call("POST", "/sheets/1", Deployment.streamHeaders(25000), new byte[600]));
        }
      }
    } catch (IOException | InterruptedException e) {
      // The channel could not be opened.
    }
  }

  private static byte[] wholeStream() {
    StringBuilder text = new StringBuilder();
    for (int i = 1; i <= EVENTS; i++) {
      text.append("id: ").append(i).append("\ndata: piece-").append(i).append("\n\n");
    }
    return text.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  private static void judge(
      Deployment deployment, List<Client.Outcome> outcomes, int failures) {
    byte[] whole = wholeStream();
    int wrong = 0;
    int served = 0;
    int brokenOff = 0;
    for (Client.Outcome outcome : outcomes) {
      boolean success = outcome.status() == 200 && outcome.whole();
      boolean right = success && Arrays.equals(outcome.answer.body, whole);
      served += right ? 1 : 0;
      brokenOff += outcome.whole() ? 0 : 1;
      if (success && !right) {
        wrong++;
        String text = new String(outcome.answer.body, StandardCharsets.ISO_8859_1);
        deployment.log(
            outcome + " WRONG: seal " + outcome.answer.header("Response-Seal") + ", events "
                + outcome.events() + " of " + EVENTS + ", ends with '"
                + text.substring(text.lastIndexOf("\n\n") + 2) + "'");
      } else {
        deployment.log(outcome.toString());
      }
    }
    deployment.finish(
        wrong > 0,
        wrong + " of " + outcomes.size() + " requests got a sealed 200 with a complete body that is"
            + " not the server's stream; " + served + " were served whole, " + brokenOff
            + " were broken off, the servers answered 400 " + failures + " times");
  }
}
