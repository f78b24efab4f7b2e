import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two of six engines begin to send bytes that are no answer, without end, in the streams that they
 * serve. Prints what becomes of the host and of the requests that were never at that engine.
 */
final class Case8 {
  private static final int STREAMS = Integer.getInteger("streams", 330);
  private static final int ENGINES = 6;
  private static final int TROUBLED_ENGINES = 2;
  private static final int PLAIN_SERVERS = 3;
  private static final int CALLERS = 24;
  private static final int EVENTS = 90;
  private static final int EVENT_MILLIS = 150;
  private static final int START_MILLIS = 4000;
  private static final int TROUBLE_AT_MILLIS = 9000;
  private static final int RUN_MILLIS = 15_000;

  private static volatile boolean trouble;

  private final AtomicInteger wholeStreams = new AtomicInteger();
  private final AtomicInteger brokenStreams = new AtomicInteger();
  private final Record record;
  private Host host;

  private Case8(Record record) {
    this.record = record;
  }

  /** Engine that sends its events at a steady pace, or endless bytes while it is in trouble. */
  private static final class Engine extends Upstream {
    private final boolean troubled;
    final AtomicInteger endless = new AtomicInteger();

    Engine(Record record, String id, String zone, boolean troubled) {
      super(record, id, Manifest.ENGINES, zone);
      this.troubled = troubled;
    }

    @Override
    boolean sound() {
      return !troubled;
    }

    @Override
    void stream(Net.Message request, OutputStream out) throws Exception {
      if (request.header("Token-Count").endsWith(",6")) {
        super.stream(request, out);
        return;
      }
      String last = request.header("Last-Event-Id");
      int event = last == null ? 1 : Integer.parseInt(last) + 1;
      out.write(
          Net.bytes(
              "HTTP/1.1 200 OK\r\n"
                  + answerHeaders(request)
                  + "Confidence: 90\r\nContent-Type: text/event-stream\r\n"
                  + "Transfer-Encoding: chunked\r\n\r\n"));
      for (; event <= EVENTS; event++) {
        Thread.sleep(EVENT_MILLIS);
        if (troubled && trouble) {
          endless(out);
        }
        chunk(out, "id: " + event + "\ndata: " + "x".repeat(45) + "\n\n");
      }
      out.write(Net.bytes("0\r\n\r\n"));
      out.flush();
    }

    /** Sends bytes that are no event until the caller closes the connection. */
    private void endless(OutputStream out) throws IOException {
      endless.incrementAndGet();
      String part = "x".repeat(16 * 1024);
      while (true) {
        chunk(out, part);
      }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
      out.write(Net.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
      out.flush();
    }
  }

  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    boolean withTrouble = !"0".equals(System.getenv("TROUBLE"));
    try (Record record = new Record(folder.resolve("record.txt"))) {
      int code = new Case8(record).play(withTrouble);
      record.close();
      System.exit(code);
    }
  }

  private static String zone(int number) {
    return "" + (char) ('a' + (number - 1) % 3);
  }

  private int play(boolean withTrouble) throws Exception {
    Store store = new Store();
    List<Engine> engines = new ArrayList<>();
    List<Upstream> plain = new ArrayList<>();
    for (int i = 1; i <= ENGINES; i++) {
      Engine engine =
          new Engine(record, "i-engine" + i, zone(i), i <= TROUBLED_ENGINES);
      engine.start();
      engines.add(engine);
      store.put("servers", engine.id, engine.entry("ready", 64));
    }
    for (int i = 1; i <= PLAIN_SERVERS; i++) {
      String zone = zone(i);
      Upstream server = new Upstream(record, "i-plain" + i, Manifest.PLAIN, zone).start();
      server.workMillis = 150;
      plain.add(server);
      store.put("servers", "i-plain" + i, server.entry("ready", 6));
    }
    store.put("op", "config", Manifest.json(1));
    Path temporary = Files.createTempDirectory("review-8");
    host = new Host(temporary, "h1", "a", store.open());
    host.start();
    if (!host.awaitReady()) {
      record.show("the host did not start: %s", host.lastErrors());
      return 2;
    }
    record.show("host is ready, process %d", host.pid());
    Callers callers = new Callers(record, host);
    callers.start(CALLERS);
    for (int i = 0; i < STREAMS; i++) {
      int number = i;
      Net.start("stream", () -> callStream(number));
      Thread.sleep(START_MILLIS / STREAMS);
    }
    while (record.millis() < TROUBLE_AT_MILLIS) {
      Thread.sleep(20);
    }
    for (Engine engine : engines) {
      record.show("%s serves %d streams", engine.id, engine.running.get());
    }
    if (withTrouble) {
      trouble = true;
      record.show("i-engine1 and i-engine2 send bytes that are no events, without end");
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
    record.show("endless answers begun: %d", engines.stream().mapToInt(engine -> engine.endless.get()).sum());
    record.show("streams: %d whole, %d broken off", wholeStreams.get(), brokenStreams.get());
    host.kill();
    return callers.verdict();
  }

  private void callStream(int number) throws Exception {
    String id = String.format("57%06x", number);
    record.add("stream %s is sent", id);
    int events = 0;
    try (Socket socket = Net.connect(host.callers)) {
      socket.setSoTimeout(25_000);
      socket
          .getOutputStream()
          .write(
              Net.bytes(
                  Manifest.request(
                      "POST",
                      "sheet",
                      id,
                      25_000,
                      "Model: m0\r\nToken-Count: 1460,540\r\nContent-Length: 5\r\n")
                      + "hello"));
      InputStream in = socket.getInputStream();
      Net.Message head = Net.readHead(in);
      if (head != null && head.status() == 200) {
        byte[] chunk;
        while ((chunk = Net.readChunk(in)) != null && chunk.length > 0) {
          events += count(chunk);
        }
        if (chunk != null) {
          wholeStreams.incrementAndGet();
          record.add("stream %s is whole, %d events", id, events);
          return;
        }
      }
      record.add("stream %s ends: %s", id, head == null ? "closed" : head.firstLine());
    } catch (IOException e) {
      record.add("stream %s ends after %d events: %s", id, events, e.getMessage());
    }
    brokenStreams.incrementAndGet();
  }

  private static int count(byte[] chunk) {
    int events = 0;
    for (int i = 1; i < chunk.length; i++) {
      events += chunk[i] == '\n' && chunk[i - 1] == '\n' ? 1 : 0;
    }
    return events;
  }
}
