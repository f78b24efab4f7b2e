import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Clients send requests whose paths begin with two slashes to a route with the prefix "/". Fails if a
 * server runs a request with another path or query than the client sent.
 */
final class ChangedPath {
  private static final int REQUESTS = 60;

  public static void main(String[] args) throws Exception {
    try (Deployment deployment = new Deployment("review/5")) {
      run(deployment);
    } catch (IOException e) {
      System.out.println("could not run: " + e);
      System.exit(2);
    }
  }

  private static void run(Deployment deployment) throws Exception {
    deployment.addHosts("a", "b", "c");
    Upstream[] servers = new Upstream[3];
    for (int i = 0; i < servers.length; i++) {
      servers[i] =
          new Upstream(
              "i-" + i,
              deployment.ip(50 + i),
              (request, out, run) -> {
                Thread.sleep(30);
                Upstream.answerWhole(request, out, "stamp");
              });
      deployment.store.put(
          "servers", servers[i].id, servers[i].entry("plain", List.of("a", "b", "c").get(i), 6));
    }
    deployment.store.put(
        "op",
        "config",
        Deployment.manifest(
            1,
            Deployment.route("lots", "/", "safe", 800, 150, "plain", 2, false)
                + ","
                + Deployment.route("stamps", "/stamps/", "unsafe", 800, 150, "plain", 1, false),
            Deployment.plainService("plain")));
    deployment.startAll();

    String slashes = Deployment.trouble() ? "//" : "/";
    Map<String, String> sent = new HashMap<>();
    int answered = 0;
    for (int i = 0; i < REQUESTS; i++) {
      String path = slashes + (i % 2 == 0 ? "lot-" + i + "/stamps/" + i : "lots/" + i + "?crate=" + i);
      Deployment.Host host = deployment.hosts.get(i % 3);
      try (Client client = new Client(host.front, 5000)) {
        Client.Outcome outcome =
            client.call("POST", path, Deployment.KEY + "Deadline-Ms: 1500\r\n", new byte[40]);
        sent.put(outcome.id, "POST " + path + " HTTP/1.1");
        answered += outcome.whole() && outcome.status() == 200 ? 1 : 0;
        deployment.log("sent POST " + path + ": " + outcome);
      }
    }
    int ran = 0;
    int changed = 0;
    for (Upstream server : servers) {
      for (Upstream.Run run : server.runs) {
        ran++;
        boolean same = run.start.equals(sent.get(run.requestId));
        changed += same ? 0 : 1;
        deployment.log(
            "server " + server.id + " ran " + run.requestId + ": " + run.start
                + (same ? "" : " CHANGED, sent was " + sent.get(run.requestId)));
      }
    }
    if (ran == 0) {
      System.out.println("no request ran");
      System.exit(2);
    }
    deployment.finish(
        changed > 0,
        changed + " of " + ran + " requests that ran had another path than the client's; "
            + answered + " of " + REQUESTS + " were answered with 200");
  }
}
