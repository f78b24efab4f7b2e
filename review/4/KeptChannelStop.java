import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;

/**
 * Clients send one stream after another on kept channels to a host that gets SIGTERM. Fails if a
 * request that was sent later than 3 s after the signal, and was passed on to a server, ends without
 * a complete answer.
 */
final class KeptChannelStop {
  private static final int CHANNELS = 24;
  private static final int EVENTS = 64;
  private static final int EVENT_MILLIS = 95;
  private static final int GRACE_MILLIS = 8000;

  /** A request that was sent up to this time after SIGTERM may be cut late in the grace period. */
  private static final int EXCUSED_MILLIS = 3000;

  public static void main(String[] args) throws Exception {
    try (Deployment deployment = new Deployment("review/4")) {
      run(deployment);
    } catch (Exception | Error e) {
      System.out.println("could not run: " + e);
      System.exit(2);
    }
  }

  private static void run(Deployment deployment) throws Exception {
    deployment.addHosts("a", "b", "c");
    List<Upstream> servers = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      Upstream server =
          new Upstream("i-" + i, deployment.ip(50 + i), (request, out, run) -> stream(request, out));
      servers.add(server);
      deployment.store.put(
          "servers", server.id, server.entry("engines", List.of("a", "b", "c").get(i - 1), 64));
    }
    deployment.store.put(
        "op",
        "config",
        Deployment.manifest(
            1,
            Deployment.route("sheets", "/sheets/", "streaming", 25000, 4000, "engines", 3, true),
            Deployment.engineService("engines", 64)));
    deployment.startAll();

    Deployment.Host host = deployment.hosts.get(0);
    List<Client.Outcome> outcomes = new CopyOnWriteArrayList<>();
    AtomicBoolean stop = new AtomicBoolean();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CHANNELS; i++) {
      int delay = i * EVENTS * EVENT_MILLIS / CHANNELS;
      threads.add(
          Upstream.daemon("client", () -> callOnKeptChannel(host, delay, stop, outcomes)));
    }
    Thread.sleep(12_000);
    long signalled = System.currentTimeMillis();
    if (Deployment.trouble()) {
      host.signal("TERM");
    }
    Thread.sleep(GRACE_MILLIS);
    if (Deployment.trouble() && host.process.isAlive()) {
      host.signal("KILL");
    }
    stop.set(true);
    for (Thread thread : threads) {
      thread.join(15_000);
    }
    judge(deployment, servers, outcomes, signalled);
  }

  private static void stream(Http.Message request, java.io.OutputStream out)
      throws IOException, InterruptedException {
    String last = request.header("Last-Event-Id");
    Upstream.beginStream(request, out);
    for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
      Upstream.event(out, i);
      Thread.sleep(EVENT_MILLIS);
    }
    Upstream.endStream(out);
  }

  /** Sends requests on one channel until an answer says that it closes, or it is closed. */
  private static void callOnKeptChannel(
      Deployment.Host host, int delay, AtomicBoolean stop, List<Client.Outcome> outcomes) {
    try {
      Thread.sleep(delay);
      try (Client client = new Client(host.front, 10_000)) {
        Client.Outcome outcome;
        do {
          outcome =
              client.call("POST", "/sheets/1", Deployment.streamHeaders(25000), new byte[600]);
          outcomes.add(outcome);
        } while (outcome.kept() && !stop.get());
      }
    } catch (IOException | InterruptedException e) {
      // No channel: nothing was sent.
    }
  }

  private static void judge(
      Deployment deployment,
      List<Upstream> servers,
      List<Client.Outcome> outcomes,
      long signalled) {
    Set<String> ran =
        servers.stream()
            .flatMap(server -> server.runs.stream())
            .map(run -> run.requestId)
            .collect(Collectors.toSet());
    int lost = 0;
    int excused = 0;
    for (Client.Outcome outcome : outcomes) {
      boolean passedOn = ran.contains(outcome.id);
      long sent = outcome.sentMillis - signalled;
      boolean cut = passedOn && !outcome.whole();
      deployment.log(
          outcome + " after_signal " + sent + " ended_after_signal "
              + (outcome.endedMillis - signalled) + " events " + outcome.events()
              + (passedOn ? " passed on" : " not passed on"));
      if (cut && sent > EXCUSED_MILLIS) {
        lost++;
      } else if (cut) {
        excused++;
      }
    }
    deployment.finish(
        lost > 0,
        lost + " of " + outcomes.size() + " requests, sent later than 3 s after SIGTERM and passed"
            + " on to a server, ended without a complete answer; " + excused
            + " others were cut but sent earlier");
  }
}
