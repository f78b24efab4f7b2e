import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A crowd of clients comes to the address that says ready and reads slowly what it gets from the
 * path of the metrics. Prints what becomes of the host and of ordinary callers.
 */
final class Case10 {
  private static final int CROWD = Integer.getInteger("crowd", 60);
  private static final int TENANTS = 10;

  /** Kinds of request and idle routes of a site. */
  private static final int ROUTES = 13;

  private static final int CALLERS = 24;
  private static final int RUN_MILLIS = 10_000;

  private final Record record;
  private Host host;

  private Case10(Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    boolean withTrouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Record record = new Record(folder.resolve("record.txt"))) {
      code = new Case10(record).play(withTrouble);
    }
    System.exit(code);
  }

  private static String path(int route) {
    return route == 0 ? "stamp" : "r" + route;
  }

  private static String manifest() {
    StringBuilder routes = new StringBuilder();
    for (int i = 0; i < ROUTES; i++) {
      routes.append(
          String.format(
              "%s{\"name\":\"r-%07d\",\"host\":\"%s\",\"pathPrefix\":\"/%s/\",\"kind\":\"unsafe\","
                  + "\"timeoutMs\":800,\"targetLatencyMs\":150,\"priority\":1,"
                  + "\"service\":\"stall-api\",\"maxAttempts\":1,\"public\":false}",
              i == 0 ? "" : ",", i, Manifest.HOST, path(i)));
    }
    StringBuilder tenants = new StringBuilder();
    for (int i = 1; i <= TENANTS; i++) {
      tenants.append(
          String.format(
              "%s{\"name\":\"hule93%d\",\"apiKeys\":[\"key-%d\"],\"priority\":1}",
              i == 1 ? "" : ",", i, i));
    }
    return String.format(
        "{\"version\":3,\"routes\":[" + Manifest.sheet() + ",%s],\"services\":[{\"name\":\"quay-gen\",\"healthPath\":\"/health\",\"maxConns\":370,"
            + "\"engine\":{\"slots\":64,\"kvCapacity\":551700,\"stride\":6,\"models\":[{\"name\":\"m0\",\"cost\":0.017}]}},{\"name\":\"stall-api\",\"healthPath\":"
            + "\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
            + "\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000},\"tenants\":[%s]}",
        routes, tenants);
  }

  private int play(boolean withTrouble) throws Exception {
    Store store = new Store();
    List<Upstream> servers = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      Upstream server =
          new Upstream(record, "i-plain" + i, Manifest.PLAIN, "" + (char) ('a' + i - 1)).start();
      server.workMillis = 5;
      servers.add(server);
      store.put("servers", server.id, server.entry("ready", 6));
    }
    for (int i = 1; i <= 3; i++) {
      Upstream engine =
          new Upstream(record, "i-engine" + i, Manifest.ENGINES, "" + (char) ('a' + i - 1)).start();
      store.put("servers", engine.id, engine.entry("ready", 64));
    }
    store.put("op", "config", manifest());
    Path temporary = Files.createTempDirectory("review-10");
    host = new Host(temporary, "h1", "a", store.open());
    host.start();
    if (!host.awaitReady()) {
      record.show("the host did not start: %s", host.lastErrors());
      return 2;
    }
    record.show("host is ready, process %d", host.pid());
    useAllRoutes();
    servers.forEach(server -> server.workMillis = 150);
    Callers callers = new Callers(record, host);
    callers.start(CALLERS);
    Thread.sleep(4500);
    String path = withTrouble ? "/metrics" : "/v1/ready";
    record.show("%d clients ask the address that says ready for %s", CROWD, path);
    for (int i = 0; i < CROWD; i++) {
      int number = i;
      Net.start("crowd", () -> press(number, path));
      Thread.sleep(20);
    }
    boolean ended = false;
    long end = record.millis() + RUN_MILLIS;
    while (record.millis() < end) {
      if (!ended && !host.isAlive()) {
        ended = true;
        record.show("the host ended by itself with code %d: %s", host.exitCode(), host.lastOutput());
        end = record.millis() + 1500;
      }
      Thread.sleep(20);
    }
    callers.stop();
    host.kill();
    return callers.verdict();
  }

  /** Sends a request of each tenant on each route, as in the first minutes of a day. */
  private void useAllRoutes() throws IOException {
    try (Socket socket = Net.connect(host.callers)) {
      for (int tenant = 1; tenant <= TENANTS; tenant++) {
        for (int route = 0; route < ROUTES; route++) {
          socket
              .getOutputStream()
              .write(Net.bytes(request(tenant, route, String.format("e%03x%03x", tenant, route))));
          Net.read(socket.getInputStream());
        }
      }
    }
  }

  private static String request(int tenant, int route, String id) {
    return String.format(
        "POST /%s/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\n"
            + "Authorization: Token key-%d\r\nContent-Length: 5\r\n\r\nhello",
        path(route), Manifest.HOST, id, tenant);
  }

  /** Reads a byte of the answer each 100 ms. */
  private void press(int number, String path) throws Exception {
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(4096);
      socket.connect(new InetSocketAddress(Net.LOOPBACK, host.ready), 1000);
      OutputStream out = socket.getOutputStream();
      out.write(Net.bytes("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"));
      record.add("client %d of the crowd has sent its request", number);
      while (socket.getInputStream().read() >= 0) {
        Thread.sleep(100);
      }
      record.add("client %d of the crowd is closed", number);
    } catch (IOException e) {
      record.add("client %d of the crowd: %s", number, e.getMessage());
    }
  }
}
