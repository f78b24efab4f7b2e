import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for a server: answers calls with a body and generations with a stream of events. */
class Upstream {
  static final String SEAL = "1a.01.10.1.0.aa";

  /** Time to the first event of a sheet, in milliseconds. */
  static final int FIRST_EVENT_MILLIS = 2500;

  /** Ids of the requests that reached a sound server whole. */
  static final Set<String> SOUND = ConcurrentHashMap.newKeySet();

  /** Ids of those that reached a server in trouble. */
  static final Set<String> TROUBLED = ConcurrentHashMap.newKeySet();

  final String id;
  final String service;
  final String zone;
  final Record record;
  final AtomicInteger running = new AtomicInteger();
  final AtomicInteger runs = new AtomicInteger();
  final AtomicInteger completed = new AtomicInteger();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private ServerSocket listener;
  volatile boolean leaving;

  /** Time that a call takes, in milliseconds. */
  volatile int workMillis = 40;

  Upstream(Record record, String id, String service, String zone) {
    this.record = record;
    this.id = id;
    this.service = service;
    this.zone = zone;
  }

  Upstream start() throws IOException {
    listener = Net.listen(id, this::serve);
    return this;
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Returns the entry under which the server registers itself. */
  String entry(String state, int slots) {
    return String.format(
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\","
            + "\"slots\":%d,\"state\":\"%s\",\"coldLeftMs\":0,\"seq\":1,\"born\":1700000000000}",
        service, port(), zone, slots, state);
  }

  /** Ends the server: it stops to listen, and its connections are closed. */
  void exit() throws IOException {
    listener.close();
    for (Socket socket : open) {
      socket.close();
    }
  }

  private void serve(Socket socket) throws Exception {
    open.add(socket);
    try {
      Net.Message request;
      while ((request = Net.read(socket.getInputStream())) != null) {
        OutputStream out = socket.getOutputStream();
        String expected = request.header("Expect-Instance");
        if (request.path().equals("/health")) {
          reply(out, leaving ? "503 x" : "200 OK", "Instance-Id: " + id + "\r\n", "");
        } else if (request.path().startsWith("/v1/")) {
          reply(out, "404 Not Found", "", "");
        } else if (expected != null && !expected.equals(id)) {
          reply(out, "421 Misdirected Request", "Instance-Id: " + id + "\r\n", "");
        } else {
          run(request, out);
        }
        if ("close".equalsIgnoreCase(request.header("Connection"))) {
          return;
        }
      }
    } finally {
      open.remove(socket);
    }
  }

  private void run(Net.Message request, OutputStream out) throws Exception {
    running.incrementAndGet();
    runs.incrementAndGet();
    try {
      (sound() ? SOUND : TROUBLED).add(request.header("Request-Id"));
      arrived(request);
      if (request.header("Token-Count") != null) {
        stream(request, out);
      } else {
        Thread.sleep(workMillis);
        reply(out, "200 OK", answerHeaders(request), "done " + request.header("Request-Id"));
      }
      completed.incrementAndGet();
    } finally {
      running.decrementAndGet();
    }
  }

  /** Called when a request has arrived whole. */
  void arrived(Net.Message request) {}

  /** Returns whether the server is never in trouble. */
  boolean sound() {
    return true;
  }

  /** Answers a generation with one event. */
  void stream(Net.Message request, OutputStream out) throws Exception {
    Thread.sleep(FIRST_EVENT_MILLIS);
    reply(out, "200 OK", answerHeaders(request) + "Confidence: 90\r\n", "id: 1\ndata: x\n\n");
  }

  final String answerHeaders(Net.Message request) {
    return "Request-Id: "
        + request.header("Request-Id")
        + "\r\nResponse-Seal: "
        + SEAL
        + "\r\n"
        + (leaving ? "Server-Leaving: 1\r\n" : "");
  }

  static void reply(OutputStream out, String status, String headers, String body)
      throws IOException {
    out.write(
        Net.bytes(
            "HTTP/1.1 "
                + status
                + "\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body));
    out.flush();
  }
}
