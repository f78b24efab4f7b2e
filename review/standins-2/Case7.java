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
  private static final int STAMP_CALLERS = 10;
  private static final int CROWD_AT_MILLIS = 3000;
  private static final int RUN_MILLIS = 20_000;

  private final AtomicInteger stamps = new AtomicInteger();
  private final AtomicInteger stampsClosed = new AtomicInteger();
  private final AtomicInteger stampsOther = new AtomicInteger();
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final Record record;
  private Host host;
  private volatile boolean over;

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
    store.put("op", "config", Manifest.json(1));
    Path temporary = Files.createTempDirectory("review-7");
    host = new Host(temporary, "h1", "a", store.open());
    host.start();
    if (!host.awaitReady()) {
      record.show("the host did not start: %s", host.lastErrors());
      return 2;
    }
    record.show("host is ready, process %d", host.pid());
    for (int i = 0; i < STAMP_CALLERS; i++) {
      int number = i;
      Net.start("stamps", () -> callStamps(number));
    }
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
    over = true;
    Thread.sleep(ended ? 0 : 2000);
    int closed = stampsClosed.get();
    record.show("crowd: %d open at most, %d answered or closed", most, refused.get());
    record.show(
        "stamps on kept channels: %d answered, %d read and passed on and then closed without an"
            + " answer, %d others",
        stamps.get(), closed, stampsOther.get());
    host.kill();
    boolean broken = ended || closed > 3;
    record.show(broken ? "LOST is broken: the process ended" : "the rules held");
    return broken ? 1 : 0;
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
              .write(
                  Net.bytes(
                      Manifest.request("POST", "stamp", id, 1500, "Content-Length: 5\r\n")
                          + "hello"));
          Net.Message answer = Net.read(socket.getInputStream());
          if (answer == null) {
            throw new IOException("closed");
          }
          record.add("stamp %s gets %s", id, answer.firstLine());
          (answer.status() == 200 ? stamps : stampsOther).incrementAndGet();
        } catch (IOException e) {
          record.add("stamp %s: %s", id, e.getMessage());
          (i > 0 ? stampsClosed : stampsOther).incrementAndGet();
          return;
        }
      }
    }
  }
}
