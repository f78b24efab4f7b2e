import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A crowd of clients sends requests of legal size whose prompt has very many short parts, and stops
 * just short of the end of the body. Prints what becomes of the host and of ordinary callers.
 */
final class Case7 {
  private static final int CROWD = Integer.getInteger("crowd", 450);

  /** Largest head that the manifest allows is 16,384 bytes. */
  private static final int HEAD_BYTES = 16_000;

  private static final int BODY_BYTES = 2000;
  private static final int CALLERS = 24;
  private static final int CROWD_AT_MILLIS = 4500;
  private static final int RUN_MILLIS = 13_000;

  private final AtomicInteger open = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final Record record;
  private Host host;

  private Case7(Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    boolean withTrouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Record record = new Record(folder.resolve("record.txt"))) {
      code = new Case7(record).play(withTrouble);
    }
    System.exit(code);
  }

  private int play(boolean withTrouble) throws Exception {
    Store store = new Store();
    for (int i = 1; i <= 3; i++) {
      Upstream server =
          new Upstream(record, "i-plain" + i, Manifest.PLAIN, "" + (char) ('a' + i - 1)).start();
      server.workMillis = 150;
      store.put("servers", server.id, server.entry("ready", 6));
    }
    for (int i = 1; i <= 3; i++) {
      Upstream engine =
          new Upstream(record, "i-engine" + i, Manifest.ENGINES, "" + (char) ('a' + i - 1)).start();
      store.put("servers", engine.id, engine.entry("ready", 64));
    }
    store.put("op", "config", Manifest.json(1));
    Path temporary = Files.createTempDirectory("review-7");
    host = new Host(temporary, "h1", "a", store.open());
    host.start();
    if (!host.awaitReady()) {
      record.show("the host did not start: %s", host.lastErrors());
      return 2;
    }
    record.show("host is ready, process %d", host.pid());
    Callers callers = new Callers(record, host);
    callers.start(CALLERS);
    Thread.sleep(CROWD_AT_MILLIS);
    // Without the disruption the same crowd sends heads of the same size with one part.
    String prefix = withTrouble ? parts() : "a".repeat(parts().length() - 2) + ":1";
    record.show("%d clients send heads of %d bytes", CROWD, head(0, prefix).length());
    for (int i = 0; i < CROWD; i++) {
      int number = i;
      Net.start("crowd", () -> press(number, prefix));
      Thread.sleep(2);
    }
    boolean ended = false;
    long end = record.millis() + RUN_MILLIS;
    int most = 0;
    while (record.millis() < end) {
      most = Math.max(most, open.get());
      if (!ended && !host.isAlive()) {
        ended = true;
        record.show("the host ended by itself with code %d: %s", host.exitCode(), host.lastOutput());
        end = record.millis() + 1500;
      }
      Thread.sleep(20);
    }
    callers.stop();
    record.show("crowd: %d open at most, %d answered or closed", most, refused.get());
    host.kill();
    return callers.verdict();
  }

  private static String parts() {
    StringBuilder value = new StringBuilder();
    while (value.length() < HEAD_BYTES - 250) {
      value.append((char) ('a' + value.length() / 4 % 6)).append(":1,");
    }
    return value.append("f:1").toString();
  }

  private static String head(int number, String prefix) {
    return Manifest.request(
        "POST",
        "sheet",
        String.format("c%06x", number),
        25_000,
        "Model: m0\r\nToken-Count: "
            + prefix.chars().filter(c -> c == ':').count()
            + ",40\r\nContent-Length: "
            + BODY_BYTES
            + "\r\nPrompt-Prefix: "
            + prefix
            + "\r\n");
  }

  /** Sends a request that lacks the last byte of its body, and stays. */
  private void press(int number, String prefix) throws Exception {
    try (Socket socket = Net.connect(host.callers)) {
      OutputStream out = socket.getOutputStream();
      out.write(Net.bytes(head(number, prefix) + "x".repeat(BODY_BYTES - 1)));
      open.incrementAndGet();
      record.add("client %d of the crowd has sent all but one byte", number);
      int first = socket.getInputStream().read();
      record.add("client %d of the crowd %s", number, first < 0 ? "is closed" : "is answered");
    } catch (IOException e) {
      record.add("client %d of the crowd: %s", number, e.getMessage());
    }
    refused.incrementAndGet();
    open.decrementAndGet();
  }
}
