import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store turns one of three hosts away while a server leaves. The server says so in all its
 * answers; the host goes on sending it requests until it has gone.
 */
final class Case9 {
  private static final int DRAIN_MILLIS = 2000;
  private static final int TURN_AWAY_AT_MILLIS = 3000;
  private static final int TURN_AWAY_MILLIS = 9000;
  private static final int LEAVE_AFTER_MILLIS = 1000;

  /** Time for which the server serves after the store has accepted its report. */
  private static final int SERVES_MILLIS = 6500;

  private static final int CALLERS = 12;
  private static final int PAUSE_MILLIS = 60;

  private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();
  private final AtomicInteger late = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final Record record;
  private Host host;
  private volatile long leavingPassedOnMillis = Long.MAX_VALUE;
  private volatile boolean over;

  private Case9(Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    boolean withTrouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Record record = new Record(folder.resolve("record.txt"))) {
      code = new Case9(record).play(withTrouble);
    }
    System.exit(code);
  }

  private final class Stamper extends Upstream {
    Stamper(String id, String zone) {
      super(Case9.this.record, id, Manifest.PLAIN, zone);
      workMillis = 120;
    }

    @Override
    void arrived(Net.Message request) {
      String requestId = request.header("Request-Id");
      long sent = sentMillis.getOrDefault(requestId, 0L);
      boolean tooLate =
          leaving
              && leavingPassedOnMillis != Long.MAX_VALUE
              && sent > leavingPassedOnMillis + DRAIN_MILLIS;
      if (tooLate) {
        late.incrementAndGet();
      }
      record.add(
          "request %s, sent at %d ms, reaches %s%s%s",
          requestId, sent, id, leaving ? ", which is leaving" : "", tooLate ? ": too late" : "");
    }
  }

  private int play(boolean withTrouble) throws Exception {
    Store store = new Store();
    List<Upstream> servers = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      String zone = "" + (char) ('a' + i - 1);
      Upstream server = new Stamper("i-plain" + i, zone).start();
      servers.add(server);
      store.put("servers", server.id, server.entry("ready", 6));
    }
    store.put("op", "config", Manifest.json(1));
    Path temporary = Files.createTempDirectory("review-9");
    List<Host> hosts = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      ports.add(store.open());
      hosts.add(new Host(temporary, "h" + i, "" + (char) ('a' + i - 1), ports.get(i - 1)));
      hosts.get(i - 1).start();
    }
    for (Host each : hosts) {
      if (!each.awaitReady()) {
        record.show("a host did not start: %s", each.lastErrors());
        return 2;
      }
    }
    host = hosts.get(0);
    record.show("three hosts are ready; all requests go to h1");
    Thread.sleep(3000);
    for (int i = 0; i < CALLERS; i++) {
      int number = i;
      Net.start("caller", () -> call(number));
    }
    long start = record.millis();
    sleepUntil(start + TURN_AWAY_AT_MILLIS);
    if (withTrouble) {
      store.setMode(ports.get(0), "busy");
      record.show("the store turns h1 away with 503 for %d ms", TURN_AWAY_MILLIS);
    }
    sleepUntil(start + TURN_AWAY_AT_MILLIS + LEAVE_AFTER_MILLIS);
    Upstream leaver = servers.get(0);
    store.put("servers", leaver.id, leaver.entry("draining", 6));
    leaver.leaving = true;
    record.show("the store accepts that %s is draining; it says so in its answers too", leaver.id);
    sleepUntil(start + TURN_AWAY_AT_MILLIS + LEAVE_AFTER_MILLIS + SERVES_MILLIS);
    record.show("%s exits with %d requests at work", leaver.id, leaver.running.get());
    leaver.exit();
    store.remove("servers", leaver.id);
    sleepUntil(start + TURN_AWAY_AT_MILLIS + TURN_AWAY_MILLIS);
    store.setMode(ports.get(0), "serve");
    record.show("the store serves h1 again");
    Thread.sleep(2000);
    over = true;
    Thread.sleep(1500);
    boolean ended = !host.isAlive();
    record.show(
        "stamps: %d answered 200, %d with another status or none", answered.get(), lost.get());
    record.show(
        "requests sent over %d ms after h1 had passed on an answer with Server-Leaving, that reached"
            + " that server from h1: %d",
        DRAIN_MILLIS, late.get());
    for (Host each : hosts) {
      each.kill();
    }
    if (ended) {
      return 2;
    }
    boolean broken = late.get() > 0;
    record.show(broken ? "DRAIN is broken" : "the rules held");
    return broken ? Net.BROKEN : 0;
  }

  private void sleepUntil(long millis) throws InterruptedException {
    Thread.sleep(Math.max(0, millis - record.millis()));
  }

  /** Sends stamps one after another on a channel that is kept. */
  private void call(int caller) throws Exception {
    for (int i = 0; !over; ) {
      try (Socket socket = Net.connect(host.callers)) {
        socket.setSoTimeout(3000);
        for (; !over; i++) {
          String id = String.format("b%03x%05x", caller, i);
          sentMillis.put(id, record.millis());
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
          boolean leaving = answer.header("Server-Leaving") != null;
          if (leaving && leavingPassedOnMillis == Long.MAX_VALUE) {
            leavingPassedOnMillis = record.millis();
            record.show("h1 has passed on the first answer with Server-Leaving");
          }
          record.add(
              "client gets %s for %s%s", answer.firstLine(), id, leaving ? ", leaving" : "");
          (answer.status() == 200 ? answered : lost).incrementAndGet();
          Thread.sleep(PAUSE_MILLIS);
        }
      } catch (IOException e) {
        record.add("request of caller %d ends: %s", caller, e.getMessage());
        lost.incrementAndGet();
        i++;
      }
    }
  }
}
