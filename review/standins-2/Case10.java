import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A crowd of clients comes to the address that says ready and reads slowly what it gets from the
 * path of the metrics. Prints what becomes of the host and of ordinary callers.
 */
final class Case10 {
  private static final int CROWD = Integer.getInteger("crowd", 60);
  private static final int TENANTS = 10;

  /** Kinds of request and idle routes of a site. */
  private static final int ROUTES = 13;

  private static final int STAMP_CALLERS = 10;
  private static final int RUN_MILLIS = 15_000;

  private final AtomicInteger stamps = new AtomicInteger();
  private final AtomicInteger stampsClosed = new AtomicInteger();
  private final AtomicInteger stampsOther = new AtomicInteger();
  private final Record record;
  private Host host;
  private volatile boolean over;

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

  private static String manifest() {
    StringBuilder routes = new StringBuilder();
    for (int i = 0; i < ROUTES; i++) {
      routes.append(
          String.format(
              "%s{\"name\":\"r-%07d\",\"host\":\"%s\",\"pathPrefix\":\"/r%d/\",\"kind\":\"unsafe\","
                  + "\"timeoutMs\":800,\"targetLatencyMs\":150,\"priority\":1,"
                  + "\"service\":\"stall-api\",\"maxAttempts\":1,\"public\":false}",
              i == 0 ? "" : ",", i, Manifest.HOST, i));
    }
    StringBuilder tenants = new StringBuilder();
    for (int i = 1; i <= TENANTS; i++) {
      tenants.append(
          String.format(
              "%s{\"name\":\"hule93%d\",\"apiKeys\":[\"key-%d\"],\"priority\":1}",
              i == 1 ? "" : ",", i, i));
    }
    return String.format(
        "{\"version\":3,\"routes\":[%s],\"services\":[{\"name\":\"stall-api\",\"healthPath\":"
            + "\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
            + "\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000},\"tenants\":[%s]}",
        routes, tenants);
  }

  private int play(boolean withTrouble) throws Exception {
    Store store = new Store();
    for (int i = 1; i <= 3; i++) {
      Upstream server =
          new Upstream(record, "i-plain" + i, Manifest.PLAIN, "" + (char) ('a' + i - 1)).start();
      server.workMillis = 5;
      store.put("servers", server.id, server.entry("ready", 6));
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
    for (int i = 0; i < STAMP_CALLERS; i++) {
      int number = i;
      Net.start("stamps", () -> callStamps(number));
    }
    Thread.sleep(1000);
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
    over = true;
    Thread.sleep(ended ? 0 : 2000);
    int closed = stampsClosed.get();
    record.show(
        "stamps on kept channels: %d answered, %d closed without an answer, %d others",
        stamps.get(), closed, stampsOther.get());
    host.kill();
    boolean broken = ended || closed > 3;
    record.show(broken ? "LOST is broken: the process ended" : "the rules held");
    return broken ? 1 : 0;
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
        "POST /r%d/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\n"
            + "Authorization: Token key-%d\r\nContent-Length: 5\r\n\r\nhello",
        route, Manifest.HOST, id, tenant);
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

  /** Sends stamps one after another on a channel that is kept. */
  private void callStamps(int caller) throws Exception {
    try (Socket socket = Net.connect(host.callers)) {
      socket.setSoTimeout(3000);
      for (int i = 0; !over; i++) {
        String id = String.format("a%03x%05x", caller, i);
        record.add("stamp %s is sent", id);
        try {
          socket
              .getOutputStream()
              .write(Net.bytes(request(1 + caller % TENANTS, caller % ROUTES, id)));
          Net.Message answer = Net.read(socket.getInputStream());
          if (answer == null) {
            throw new IOException("closed");
          }
          record.add("stamp %s gets %s", id, answer.firstLine());
          (answer.status() == 200 ? stamps : stampsOther).incrementAndGet();
          Thread.sleep(50);
        } catch (IOException e) {
          record.add("stamp %s: %s", id, e.getMessage());
          (i > 0 ? stampsClosed : stampsOther).incrementAndGet();
          return;
        }
      }
    }
  }
}
