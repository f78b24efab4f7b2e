import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.UUID;

/** One channel of a client to a host's front address. */
final class Client implements AutoCloseable {
  /** What a client saw of one request. */
  static final class Outcome {
    final String id;
    long sentMillis;
    long endedMillis;

    /** The answer; null if the channel ended before a whole head. */
    Http.Message answer;

    String failure = "";

    private Outcome(String id) {
      this.id = id;
    }

    boolean whole() {
      return answer != null && answer.complete;
    }

    int status() {
      return answer == null ? 0 : answer.status();
    }

    boolean kept() {
      return whole() && !"close".equalsIgnoreCase(answer.header("Connection"));
    }

    int events() {
      return answer == null
          ? 0
          : new String(answer.body, StandardCharsets.ISO_8859_1).split("\n\n", -1).length - 1;
    }

    @Override
    public String toString() {
      return "request " + id + " sent " + sentMillis + " ended " + endedMillis + " status "
          + status() + (whole() ? " whole" : " NOT WHOLE " + failure
          + (answer == null ? "" : answer.broken)) + " bytes "
          + (answer == null ? 0 : answer.body.length);
    }
  }

  private final Socket socket;
  private final BufferedInputStream in;
  private final OutputStream out;

  Client(String address, int timeoutMillis) throws IOException {
    int colon = address.indexOf(':');
    socket = new Socket();
    socket.connect(
        new InetSocketAddress(
            InetAddress.getByName(address.substring(0, colon)),
            Integer.parseInt(address.substring(colon + 1))),
        1000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMillis);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  static String newId() {
    return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
  }

  /** Sends one request and reads its whole answer. */
  Outcome call(String method, String path, String headers, byte[] body) {
    Outcome outcome = new Outcome(newId());
    try {
      outcome.sentMillis = System.currentTimeMillis();
      String head = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "
          + outcome.id + "\r\n" + headers
          + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      if (body != null) {
        out.write(body);
      }
      out.flush();
      outcome.answer = Http.readHead(in);
      if (outcome.answer == null) {
        outcome.failure = "the channel was closed without an answer";
      } else {
        Http.readBody(in, outcome.answer, true);
      }
    } catch (IOException e) {
      outcome.failure = String.valueOf(e.getMessage());
    }
    outcome.endedMillis = System.currentTimeMillis();
    return outcome;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
