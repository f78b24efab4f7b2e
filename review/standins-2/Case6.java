import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Engines go down and up by turns while clients of one host send prompts of many short parts and
 * leave early. Prints what becomes of that host and of the two others.
 */
final class Case6 {
  private static final int HOSTS = 3;
  private static final int ENGINES = 4;
  private static final int CROWD = Integer.getInteger("crowd", 240);
  private static final int HEAD_BYTES = 16_000;
  private static final int PATIENCE_MILLIS = 1500;

  /** Time to the first event of a long prompt; the objective of the route is 4,000 ms. */
  private static final int FIRST_EVENT_MILLIS = 2500;

  private static final int STAMP_CALLERS = 6;

  /** Time-out of the route, and the time after it at which an answer must have come. */
  private static final int TIMEOUT_MILLIS = 800;

  private static final int TIME_BUDGET_MILLIS = 1500;

  private static final int ANSWER_AFTER_MILLIS = 500;

  /** Fewest unanswered requests that are judged. */
  private static final int LEAST_UNANSWERED = 4;

  private static final int CROWD_AT_MILLIS = 3000;
  private static final int DOWN_EVERY_MILLIS = 6000;
  private static final int DOWN_MILLIS = 2000;

  /** Three heartbeats of 1,200 ms. */
  private static final int ENTRY_STAYS_MILLIS = 3600;

  private static final int TURNS = 8;

  private final Map<Host, AtomicInteger> answered = new HashMap<>();
  private final Map<Host, AtomicInteger> closed = new HashMap<>();
  private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
  private final AtomicInteger unansweredLater = new AtomicInteger();
  private final Map<Host, Boolean> ended = new HashMap<>();
  private final AtomicLong parts = new AtomicLong();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger left = new AtomicInteger();
  private final Record record;
  private final Store store = new Store();
  private final List<Upstream> engines = new ArrayList<>();
  private int engineCount;
  private volatile boolean over;

  private Case6(Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    boolean withTrouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Record record = new Record(folder.resolve("record.txt"))) {
      code = new Case6(record).play(withTrouble);
    }
    System.exit(code);
  }

  private static final class Engine extends Upstream {
    Engine(Record record, String id, String zone) {
      super(record, id, Manifest.ENGINES, zone);
    }

    @Override
    void stream(Net.Message request, OutputStream out) throws Exception {
      Thread.sleep(FIRST_EVENT_MILLIS);
      reply(out, "200 OK", answerHeaders(request) + "Confidence: 90\r\n", "id: 1\ndata: x\n\n");
    }
  }

  private void startEngine(int index) throws IOException {
    engineCount++;
    Engine engine =
        new Engine(record, "i-engine" + engineCount, "" + (char) ('a' + index % HOSTS));
    engine.start();
    store.put("servers", engine.id, engine.entry("ready", 64));
    if (index < engines.size()) {
      engines.set(index, engine);
    } else {
      engines.add(engine);
    }
  }

  private int play(boolean withTrouble) throws Exception {
    for (int i = 0; i < ENGINES; i++) {
      startEngine(i);
    }
    for (int i = 0; i < 3; i++) {
      Upstream server =
          new Upstream(record, "i-plain" + i, Manifest.PLAIN, "" + (char) ('a' + i)).start();
      server.workMillis = 120;
      store.put("servers", server.id, server.entry("ready", 12));
    }
    store.put("op", "config", Manifest.json(1));
    Path temporary = Files.createTempDirectory("review-6");
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      Host host = new Host(temporary, "h" + (i + 1), "" + (char) ('a' + i), store.open());
      host.start();
      hosts.add(host);
      answered.put(host, new AtomicInteger());
      closed.put(host, new AtomicInteger());
      ended.put(host, false);
    }
    for (Host host : hosts) {
      if (!host.awaitReady()) {
        record.show("a host did not start: %s", host.lastErrors());
        return 2;
      }
    }
    record.show("%d hosts are ready", HOSTS);
    for (Host host : hosts) {
      for (int i = 0; i < STAMP_CALLERS; i++) {
        int number = i;
        Net.start("stamps", () -> callStamps(host, number));
      }
    }
    Thread.sleep(CROWD_AT_MILLIS);
    for (int i = 0; i < CROWD; i++) {
      Host host = hosts.get(i % HOSTS);
      Net.start("crowd", () -> press(host));
      Thread.sleep(10);
    }
    record.show("%d clients send prompts of many short parts and leave early", CROWD);
    for (int turn = 0; turn < TURNS && hosts.stream().anyMatch(Host::isAlive); turn++) {
      watch(hosts, DOWN_EVERY_MILLIS - ENTRY_STAYS_MILLIS);
      int index = turn % ENGINES;
      Upstream engine = engines.get(index);
      if (withTrouble) {
        record.show("%s crashes with %d requests", engine.id, engine.running.get());
        engine.exit();
      }
      watch(hosts, DOWN_MILLIS);
      if (withTrouble) {
        startEngine(index);
      }
      watch(hosts, ENTRY_STAYS_MILLIS - DOWN_MILLIS);
      if (withTrouble) {
        store.remove("servers", engine.id);
      }
    }
    watch(hosts, 2000);
    over = true;
    Thread.sleep(2500);
    record.show(
        "the crowd sent %d requests with %d parts and left before the answer %d times",
        sent.get(), parts.get(), left.get());
    boolean broken = false;
    for (Host host : hosts) {
      record.show(
          "%s: %s; stamps: %d answered, %d without an answer in their time budget",
          host.name,
          ended.get(host) ? "ended by itself" : "lives",
          answered.get(host).get(),
          closed.get(host).get());
    }
    record.show(
        "stamps unanswered at their route's timeout of %d ms: %d, and %d ms later: %d",
        TIMEOUT_MILLIS, unansweredAtTimeout.get(), ANSWER_AFTER_MILLIS, unansweredLater.get());
    broken |=
        unansweredAtTimeout.get() >= LEAST_UNANSWERED
            && 2 * unansweredLater.get() > unansweredAtTimeout.get();
    for (Host host : hosts) {
      host.kill();
    }
    record.show(broken ? "CONFIG is broken" : "the rule held");
    return broken ? Net.BROKEN : 0;
  }

  private void watch(List<Host> hosts, int millis) throws Exception {
    long end = record.millis() + millis;
    while (record.millis() < end) {
      for (Host host : hosts) {
        if (!host.isAlive() && !ended.get(host)) {
          ended.put(host, true);
          record.show(
              "%s ended by itself with code %d: %s",
              host.name, host.exitCode(), host.lastOutput());
        }
      }
      Thread.sleep(20);
    }
  }

  /** Sends whole requests, each with parts of its own, and leaves before the first event. */
  private void press(Host host) throws Exception {
    while (!over && host.isAlive()) {
      StringBuilder prefix = new StringBuilder();
      int count = 0;
      while (prefix.length() < HEAD_BYTES - 300) {
        prefix.append(String.format("%05x:1,", parts.getAndIncrement() & 0xfffff));
        count++;
      }
      String head =
          Manifest.request(
              "POST",
              "sheet",
              String.format("c%07x", sent.incrementAndGet()),
              25_000,
              "Model: m0\r\nToken-Count: "
                  + (count + 1)
                  + ",40\r\nContent-Length: 5\r\nPrompt-Prefix: "
                  + prefix
                  + "f:1\r\n");
      try (Socket socket = Net.connect(host.callers)) {
        socket.setSoTimeout(PATIENCE_MILLIS);
        socket.getOutputStream().write(Net.bytes(head + "hello"));
        InputStream in = socket.getInputStream();
        Net.Message answer = Net.readHead(in);
        record.add("client of the crowd gets %s", answer == null ? "" : answer.firstLine());
      } catch (IOException e) {
        left.incrementAndGet();
      }
      Thread.sleep(20);
    }
  }

  /** Sends stamps one after another; a channel is kept until a stamp on it gets no answer. */
  private void callStamps(Host host, int caller) throws Exception {
    for (int i = 0; !over; ) {
      try (Socket socket = Net.connect(host.callers)) {
        socket.setSoTimeout(TIME_BUDGET_MILLIS);
        for (boolean answer = true; answer && !over; i++) {
          answer = callStamp(socket, host, String.format("a%s%03x%05x", host.name, caller, i));
          Thread.sleep(100);
        }
      } catch (IOException e) {
        // The process has ended.
        Thread.sleep(200);
      }
    }
  }

  /** Sends a stamp; returns whether an answer came within its time budget. */
  private boolean callStamp(Socket socket, Host host, String id) throws IOException {
    record.add("stamp %s is sent", id);
    long sentMillis = record.millis();
    socket
        .getOutputStream()
        .write(
            Net.bytes(
                Manifest.request(
                        "POST", "stamp", id, TIME_BUDGET_MILLIS, "Content-Length: 5\r\n")
                    + "hello"));
    try {
      Net.Message answer = Net.read(socket.getInputStream());
      if (answer == null) {
        throw new IOException("closed");
      }
      record.add("stamp %s gets %s", id, answer.firstLine());
      judge(record.millis() - sentMillis);
      answered.get(host).incrementAndGet();
      return true;
    } catch (IOException e) {
      record.add("stamp %s: %s", id, e.getMessage());
      judge(e instanceof SocketTimeoutException ? Long.MAX_VALUE : record.millis() - sentMillis);
      closed.get(host).incrementAndGet();
      return false;
    }
  }

  private void judge(long millis) {
    if (millis > TIMEOUT_MILLIS) {
      unansweredAtTimeout.incrementAndGet();
    }
    if (millis > TIMEOUT_MILLIS + ANSWER_AFTER_MILLIS) {
      unansweredLater.incrementAndGet();
    }
  }
}
