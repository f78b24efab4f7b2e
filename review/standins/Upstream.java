import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A server of a service. It answers 421 to a request that expects another server, and hands every
 * other one to a handler.
 */
final class Upstream {
  /** A request that this server began to work on. */
  static final class Run {
    final String requestId;
    final String start;
    final long beganMillis;

    /** How it went on: "running", "done", or why the work stopped. */
    volatile String state = "running";

    private Run(String requestId, String start, long beganMillis) {
      this.requestId = requestId;
      this.start = start;
      this.beganMillis = beganMillis;
    }
  }

  /** Answers a request on its connection. */
  interface Handler {
    void answer(Http.Message request, OutputStream out, Run run)
        throws IOException, InterruptedException;
  }

  final String id;
  final List<Run> runs = new CopyOnWriteArrayList<>();
  private final ServerSocket socket;
  private final Handler handler;

  Upstream(String id, String ip, Handler handler) throws IOException {
    this.id = id;
    this.handler = handler;
    this.socket = new ServerSocket(0, 256, InetAddress.getByName(ip));
    daemon("server " + id, this::accept);
  }

  String address() {
    return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
  }

  /** Returns the entry with which the server registers itself. */
  String entry(String service, String zone, int slots) {
    return String.format(
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
            + "\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":%d}",
        service, address(), zone, slots, System.currentTimeMillis());
  }

  private void accept() {
    while (true) {
      try {
        Socket connection = socket.accept();
        daemon("connection of " + id, () -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
      OutputStream out = connection.getOutputStream();
      for (Http.Message request = Http.readHead(in); request != null; request = Http.readHead(in)) {
        Http.readBody(in, request, false);
        if (!request.complete) {
          return;
        }
        if (!id.equals(request.header("Expect-Instance"))) {
          write(out, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id
              + "\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        Run run =
            new Run(request.header("Request-Id"), request.start, System.currentTimeMillis());
        runs.add(run);
        try {
          handler.answer(request, out, run);
          run.state = "done";
        } catch (IOException e) {
          run.state = "stopped: the channel was closed";
          return;
        }
        if ("close".equalsIgnoreCase(request.header("Connection"))) {
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      // The caller closed the channel.
    }
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Writes the head of an answer that a server signs. */
  static String head(Http.Message request, String framing) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
        + "\r\nResponse-Seal: 3e1b.07\r\n" + framing + "\r\n\r\n";
  }

  /** Answers with a whole body at once. */
  static void answerWhole(Http.Message request, OutputStream out, String body) throws IOException {
    write(out, head(request, "Content-Length: " + body.length()) + body);
  }

  static void beginStream(Http.Message request, OutputStream out) throws IOException {
    write(out, head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"));
  }

  static void event(OutputStream out, int number) throws IOException {
    String event = "id: " + number + "\ndata: piece-" + number + "\n\n";
    write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
  }

  static void endStream(OutputStream out) throws IOException {
    write(out, "0\r\n\r\n");
  }

  static Thread daemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
