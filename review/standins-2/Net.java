import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** HTTP/1.1 on blocking sockets, as far as the stand-ins need it. */
final class Net {
  static final String LOOPBACK = "127.0.0.1";

  /** Exit code of a case whose rule was broken; an exception ends the JVM with 1. */
  static final int BROKEN = 10;

  private Net() {}

  /** Head of a message and its body. */
  record Message(String firstLine, List<String> fields, byte[] body) {
    /** Returns the value of a header; null if it is absent. */
    String header(String name) {
      String prefix = name.toLowerCase(Locale.ROOT) + ":";
      for (String field : fields) {
        if (field.toLowerCase(Locale.ROOT).startsWith(prefix)) {
          return field.substring(prefix.length()).trim();
        }
      }
      return null;
    }

    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String path() {
      return firstLine.split(" ")[1];
    }
  }

  /** Handles one connection; it is closed when the handler returns. */
  interface Handler {
    void serve(Socket socket) throws Exception;
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
      return socket.getLocalPort();
    }
  }

  static ServerSocket listen(String name, Handler handler) throws IOException {
    return listen(name, 0, handler);
  }

  /** Listens on a loopback port and serves each connection in a thread of its own. */
  static ServerSocket listen(String name, int port, Handler handler) throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(LOOPBACK, port), 512);
    start(
        name,
        () -> {
          while (true) {
            Socket socket = server.accept();
            start(
                name,
                () -> {
                  try (socket) {
                    socket.setTcpNoDelay(true);
                    handler.serve(socket);
                  }
                });
          }
        });
    return server;
  }

  /** Work that may fail; a failure ends its thread. */
  interface Work {
    void run() throws Exception;
  }

  static Thread start(String name, Work work) {
    Thread thread =
        new Thread(
            null,
            () -> {
              try {
                work.run();
              } catch (IOException | InterruptedException e) {
                // The other end closed the connection, or the case is over.
              } catch (Exception e) {
                e.printStackTrace();
              }
            },
            name,
            128 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static Socket connect(int port) throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress(LOOPBACK, port), 1000);
    socket.setTcpNoDelay(true);
    return socket;
  }

  /** Reads a head up to its empty line; null at the end of the connection. */
  static Message readHead(InputStream in) throws IOException {
    List<String> lines = new ArrayList<>();
    while (true) {
      String line = readLine(in);
      if (line == null) {
        return null;
      }
      if (line.isEmpty()) {
        if (lines.isEmpty()) {
          continue;
        }
        return new Message(lines.get(0), lines.subList(1, lines.size()), new byte[0]);
      }
      lines.add(line);
    }
  }

  static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int c;
    while ((c = in.read()) >= 0) {
      if (c == '\n') {
        return line.toString().replace("\r", "");
      }
      line.append((char) c);
    }
    return null;
  }

  /** Reads a message whose body has a length or chunks; null if the connection ends before it. */
  static Message read(InputStream in) throws IOException {
    Message head = readHead(in);
    if (head == null) {
      return null;
    }
    byte[] body = readBody(in, head);
    if (body == null) {
      return null;
    }
    return new Message(head.firstLine(), head.fields(), body);
  }

  /** Reads the body of a message; null if the connection ends before its end. */
  static byte[] readBody(InputStream in, Message head) throws IOException {
    byte[] body = new byte[0];
    String length = head.header("Content-Length");
    if (length != null) {
      body = in.readNBytes(Integer.parseInt(length));
      if (body.length < Integer.parseInt(length)) {
        return null;
      }
    } else if (head.header("Transfer-Encoding") != null) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      byte[] chunk;
      while ((chunk = readChunk(in)) != null && chunk.length > 0) {
        all.write(chunk);
      }
      if (chunk == null) {
        return null;
      }
      body = all.toByteArray();
    }
    return body;
  }

  /** Returns the next chunk, which is empty at the end; null if the connection ends before it. */
  static byte[] readChunk(InputStream in) throws IOException {
    String size = readLine(in);
    if (size == null || size.isEmpty()) {
      return null;
    }
    int count = Integer.parseInt(size.split(";")[0].trim(), 16);
    byte[] chunk = in.readNBytes(count);
    String end = readLine(in);
    return chunk.length < count || end == null ? null : chunk;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
